package front

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// Parts of a server-sent event.
var (
	dataPrefix = []byte("data: ")
	eventEnd   = []byte("\n\n")
	newline    = []byte("\n")
	// doneData is the data of the event that ends a stream.
	doneData = []byte("[DONE]")
)

// sink writes a response to the caller. Every event of a stream is flushed at once.
type sink struct {
	x       *exchange
	control *http.ResponseController
	// stream is set if the caller asked for server-sent events.
	stream bool
	// started is set once a part of the response has been written.
	started bool
	// aborted is set if the response was cut off.
	aborted bool
	// flushEach is set if every part of an application's response is flushed at
	// once.
	flushEach bool
	buf       []byte
}

// WriteHead writes the status and headers of an application's response. A status outside 200
// to 599 becomes 502, because net/http would not accept it as a final status.
func (k *sink) WriteHead(status int, headers []*wire.Header) error {
	if status < http.StatusOK || status > 599 {
		status = http.StatusBadGateway
	}
	h := k.x.w.Header()
	for _, header := range headers {
		if dropResponseHeader(header.GetName()) {
			continue
		}
		h.Add(header.GetName(), header.GetValue())
	}
	if len(h["Content-Type"]) == 0 {
		h["Content-Type"] = nil // keeps net/http from guessing the content type
	}
	k.writeHeader(status)
	return nil
}

// WriteChunk writes a part of the response.
func (k *sink) WriteChunk(data []byte) error {
	if !k.started {
		k.writeModelHeader()
	}
	_ = k.control.SetWriteDeadline(time.Now().Add(k.x.s.Limits.Write)) // some ResponseWriters of tests do not support it
	if k.stream {
		return k.writeEvent(data)
	}
	if _, err := k.x.w.Write(data); err != nil {
		return err
	}
	if k.flushEach {
		return k.control.Flush()
	}
	return nil
}

// writeEvent writes one server-sent event. It drops a [DONE] event: only writeEnd
// writes one, after the complete response was passed on.
func (k *sink) writeEvent(data []byte) error {
	if bytes.Equal(data, doneData) {
		return nil
	}
	k.buf = append(k.buf[:0], dataPrefix...)
	for {
		line, rest, more := bytes.Cut(data, newline)
		k.buf = append(k.buf, line...)
		if !more {
			break
		}
		k.buf = append(k.buf, '\n')
		k.buf = append(k.buf, dataPrefix...)
		data = rest
	}
	k.buf = append(k.buf, eventEnd...)
	if _, err := k.x.w.Write(k.buf); err != nil {
		return err
	}
	return k.control.Flush()
}

// writeModelHeader writes the status and headers of a model's response.
func (k *sink) writeModelHeader() {
	h := k.x.w.Header()
	if k.stream {
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	} else {
		h.Set("Content-Type", "application/json")
	}
	k.writeHeader(http.StatusOK)
}

func (k *sink) writeHeader(status int) {
	k.started = true
	k.x.w.WriteHeader(status)
}

// writeEnd ends a complete response.
func (k *sink) writeEnd() error {
	if !k.started {
		k.writeModelHeader()
	}
	if k.stream {
		k.buf = append(k.buf[:0], dataPrefix...)
		k.buf = append(k.buf, doneData...)
		k.buf = append(k.buf, eventEnd...)
		_, _ = k.x.w.Write(k.buf) // an error is ignored, since the caller already has the response
	}
	return nil
}

// sendError ends a started stream with an event that contains the refusal.
func (k *sink) sendError(r refuse.Refusal) {
	data, err := json.Marshal(refusalBody(r))
	if err != nil {
		return
	}
	k.buf = append(k.buf[:0], "event: error\n"...)
	k.buf = append(k.buf, dataPrefix...)
	k.buf = append(k.buf, data...)
	k.buf = append(k.buf, eventEnd...)
	_, _ = k.x.w.Write(k.buf)
	_ = k.control.Flush()
}
