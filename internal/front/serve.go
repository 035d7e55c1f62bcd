package front

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

const (
	// Names of headers.
	headerRequestID = "X-Request-Id"
	headerOutcome   = "X-Beryl-Outcome"
	headerKey       = "Idempotency-Key"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 128
)

// exchange is one request of a caller while it is being handled.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	account entry.Account
	// id is the request's id: the organisation and a key, joined by "/".
	id    string
	keyed bool
	body  []byte
	sink  *sink
	// admitted is set while the request counts as in progress.
	admitted bool
}

// httpRefusal is a refusal by this package together with its HTTP status, which the code
// alone does not determine.
type httpRefusal struct {
	refuse.Refusal
	status int
}

// reject returns a refusal of a request that was not passed to the engine.
func reject(status int, code refuse.Code, format string, args ...any) *httpRefusal {
	return &httpRefusal{
		Refusal: refuse.Refusal{Code: code, Outcome: refuse.NotRun, Message: fmt.Sprintf(format, args...)},
		status:  status,
	}
}

// Error returns the refusal in one line.
func (f *httpRefusal) Error() string { return f.Refusal.Error() }

// Unwrap lets refuse.As find the refusal.
func (f *httpRefusal) Unwrap() error { return &f.Refusal }

// prepare turns an exchange into a request for the engine.
type prepare func(x *exchange) (*entry.Request, error)

// serve returns the handler that checks a request, prepares it and passes it to the
// engine. A refusal is sent as soon as it is known.
func (s *Server) serve(p prepare) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := s.Tracer.Start(r.Context(), "request")
		defer span.End()
		s.Counts.Requests.Add(1)
		x := &exchange{s: s, w: w, r: r.WithContext(ctx), arrived: time.Now()}
		if s.limiter.isClosed() {
			w.Header().Set("Connection", "close")
		}
		x.sink = &sink{x: x, control: http.NewResponseController(w)}
		defer x.release()
		req, result, err := x.run(ctx, p)
		span.SetAttributes(attribute.String("request", x.id))
		if err != nil {
			span.RecordError(err)
			x.refuse(err)
		}
		x.logRequest(req, result, err)
		if x.sink.aborted {
			panic(http.ErrAbortHandler) // closes the connection without ending the body
		}
	})
}

// run checks the request and lets the engine serve it.
func (x *exchange) run(ctx context.Context, p prepare) (*entry.Request, entry.Result, error) {
	for _, check := range []func() error{x.checkHeaders, x.authenticate, x.identify, x.admit, x.readBody} {
		if err := check(); err != nil {
			return nil, entry.Result{}, x.unknownIfRan(err)
		}
	}
	req, err := p(x)
	if err != nil {
		return nil, entry.Result{}, x.unknownIfRan(err)
	}
	x.fillCommon(req)
	result, err := x.s.Engine.Do(ctx, req, x.sink)
	if err == nil {
		err = x.sink.writeEnd()
	}
	return req, result, err
}

// unknownIfRan sets the outcome of a refusal to unknown if an earlier request with the
// same key may have run.
func (x *exchange) unknownIfRan(err error) error {
	var f *httpRefusal
	if x.keyed && errors.As(err, &f) && x.s.Engine.MayHaveRun(x.id, isCall(x.r)) {
		f.Outcome = refuse.Unknown
	}
	return err
}

// admit counts the request as in progress, or refuses it if the instance is draining or
// at its limit.
func (x *exchange) admit() error {
	err := x.s.limiter.acquire()
	x.admitted = err == nil
	switch {
	case errors.Is(err, errDraining):
		f := reject(http.StatusServiceUnavailable, refuse.CodeDraining, "this instance is draining; retry at another instance")
		f.RetryAfter = time.Second
		return f
	case errors.Is(err, errFull):
		f := reject(http.StatusTooManyRequests, refuse.CodeBusy, "this instance has reached its limit of %d requests in progress", x.s.Limits.MaxInProgress)
		f.RetryAfter = time.Second
		return f
	}
	return nil
}

// release undoes admit, after the last byte has been written.
func (x *exchange) release() {
	if x.admitted {
		x.s.limiter.release()
	}
}

// checkHeaders limits the number and the size of the header lines. net/http limits the
// size too, but its refusal has no body that callers can parse. Its limit is therefore
// set higher than this one.
func (x *exchange) checkHeaders() error {
	count, size := 0, len(x.r.RequestURI)
	for name, values := range x.r.Header {
		count += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if limit := x.s.Limits.HeaderCount; count > limit {
		return reject(http.StatusRequestHeaderFieldsTooLarge, refuse.CodeTooLarge,
			"request has %d header lines; the limit is %d", count, limit)
	}
	if limit := x.s.Limits.HeaderBytes; size > limit {
		return reject(http.StatusRequestHeaderFieldsTooLarge, refuse.CodeTooLarge,
			"request line and headers have %d bytes; the limit is %d", size, limit)
	}
	return nil
}

// authenticate looks up the account of the bearer key.
func (x *exchange) authenticate() error {
	scheme, key, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return reject(http.StatusUnauthorized, refuse.CodeNoKey, "the header Authorization: Bearer KEY is missing")
	}
	account, ok := x.s.Catalogue.Authenticate(key)
	if !ok {
		return reject(http.StatusUnauthorized, refuse.CodeNoKey, "the bearer key belongs to no organisation")
	}
	x.account = account
	return nil
}

// identify sets the request's id. Within an organisation, the same key always names the
// same request. A generated id starts with "~", which no key may contain, so that it
// never equals a caller's key.
func (x *exchange) identify() error {
	values := x.r.Header.Values(headerKey)
	if len(values) > 1 {
		return reject(http.StatusBadRequest, refuse.CodeBadRequest, "the header %s is given %d times", headerKey, len(values))
	}
	if len(values) == 0 {
		x.id = x.account.Organisation + "/~" + ident.NewRequestID()
	} else {
		if err := checkKey(values[0]); err != nil {
			return err
		}
		x.id, x.keyed = x.account.Organisation+"/"+values[0], true
	}
	x.w.Header().Set(headerRequestID, x.id)
	return nil
}

// checkKey checks the length and the characters of an idempotency key.
func checkKey(key string) error {
	if key == "" || len(key) > maxKeyBytes {
		return reject(http.StatusBadRequest, refuse.CodeBadRequest,
			"the header %s has %d bytes; it needs 1 to %d", headerKey, len(key), maxKeyBytes)
	}
	for i, c := range []byte(key) {
		if !keyByte(c) {
			return reject(http.StatusBadRequest, refuse.CodeBadRequest,
				"the header %s has the byte 0x%02x at position %d; letters, digits and -_.: are allowed", headerKey, c, i)
		}
	}
	return nil
}

func keyByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("-_.:", c) >= 0
}

// readBody reads the body within the limits on its size and time.
func (x *exchange) readBody() error {
	limit := x.s.Limits.Body
	if x.r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	control := x.sink.control
	_ = control.SetReadDeadline(time.Now().Add(x.s.Limits.BodyRead)) // some ResponseWriters of tests do not support it
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err != nil {
		return x.bodyError(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	x.body = body
	return nil
}

func (x *exchange) bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge(tooLarge.Limit)
	}
	if timeout, ok := err.(interface{ Timeout() bool }); ok && timeout.Timeout() {
		return reject(http.StatusRequestTimeout, refuse.CodeBadRequest,
			"the body did not arrive in full within %v", x.s.Limits.BodyRead)
	}
	return reject(http.StatusBadRequest, refuse.CodeBadRequest, "the body could not be read to its end")
}

func bodyTooLarge(limit int64) *httpRefusal {
	return reject(http.StatusRequestEntityTooLarge, refuse.CodeTooLarge, "the body exceeds the limit of %d bytes", limit)
}

// fillCommon sets the fields that all kinds of requests have.
func (x *exchange) fillCommon(req *entry.Request) {
	req.ID = x.id
	req.Keyed = x.keyed
	req.Account = x.account
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\n%s\n", x.r.Method, x.r.URL.RequestURI())
	_, _ = h.Write(x.body)
	req.Fingerprint = h.Sum(nil)
}
