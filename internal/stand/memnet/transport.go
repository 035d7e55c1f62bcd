package memnet

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// errRefused is the error of a connection attempt for which Transport.Refused
// returns true.
var errRefused = errors.New("connection refused")

// Transport is an http.RoundTripper that calls a handler without a connection. The body
// of an answer can be read while the handler is still writing it.
type Transport struct {
	Handler http.Handler
	// Refused reports whether a connection attempt fails. If it is nil, none
	// fails.
	Refused func() bool
}

// RoundTrip implements http.RoundTripper. It returns when the request's context ends,
// even if the handler is still running.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if err := t.connect(req); err != nil {
		return nil, err
	}
	if req.Body == nil {
		req.Body = http.NoBody
	}
	r, w := io.Pipe()
	rw := &pipeWriter{header: make(http.Header), body: w, ready: make(chan int, 1)}
	go func() {
		t.Handler.ServeHTTP(rw, req)
		rw.WriteHeader(http.StatusOK)
		_ = w.Close()
	}()
	stop := context.AfterFunc(req.Context(), func() { _ = w.CloseWithError(context.Cause(req.Context())) })
	select {
	case status := <-rw.ready:
		return &http.Response{StatusCode: status, Header: rw.header, Body: r, Request: req}, nil
	case <-req.Context().Done():
		stop()
		return nil, req.Context().Err()
	}
}

// connect reports the connection to the request's trace, as http.Transport does. It
// returns errRefused if Refused returns true.
func (t Transport) connect(req *http.Request) error {
	trace := httptrace.ContextClientTrace(req.Context())
	if trace != nil && trace.GetConn != nil {
		trace.GetConn(req.URL.Host)
	}
	if t.Refused != nil && t.Refused() {
		return errRefused
	}
	if trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	return nil
}

// pipeWriter is the response writer of Transport.
type pipeWriter struct {
	header http.Header
	body   *io.PipeWriter
	once   sync.Once
	// ready receives the status once the header is complete.
	ready chan int
}

// Header implements http.ResponseWriter.
func (w *pipeWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *pipeWriter) WriteHeader(status int) { w.once.Do(func() { w.ready <- status }) }

// Write implements http.ResponseWriter.
func (w *pipeWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}
