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

// sink writes an answer to the caller. Each event of a stream is flushed, so
// that nothing is held back.
type sink struct {
	x       *exchange
	control *http.ResponseController
	// stream is set where the caller asked for server-sent events.
	stream bool
	// begun is set once a part of the answer was written.
	begun bool
	// broken is set where the answer was cut off.
	broken bool
	// flushEach is set where the parts of an application's answer are passed
	// on as they come.
	flushEach bool
	buf       []byte
}

// Head writes the status and headers of an application's answer. A status that
// is no final one, which net/http would not accept, becomes 502.
func (k *sink) Head(status int, headers []*wire.Header) error {
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
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	k.begin(status)
	return nil
}

// Chunk writes a part of the answer.
func (k *sink) Chunk(data []byte) error {
	if !k.begun {
		k.beginModel()
	}
	_ = k.control.SetWriteDeadline(time.Now().Add(k.x.s.Limits.Write)) // not all test writers can
	if k.stream {
		return k.event(data)
	}
	if _, err := k.x.w.Write(data); err != nil {
		return err
	}
	if k.flushEach {
		return k.control.Flush()
	}
	return nil
}

// event writes one server-sent event. The end of the stream is written by
// finish alone, when the whole answer is known to have been passed on.
func (k *sink) event(data []byte) error {
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

// beginModel writes the headers of a model's answer.
func (k *sink) beginModel() {
	h := k.x.w.Header()
	if k.stream {
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	} else {
		h.Set("Content-Type", "application/json")
	}
	k.begin(http.StatusOK)
}

func (k *sink) begin(status int) {
	k.begun = true
	k.x.w.WriteHeader(status)
}

// finish ends an answer that is whole.
func (k *sink) finish() error {
	if !k.begun {
		k.beginModel()
	}
	if k.stream {
		k.buf = append(k.buf[:0], dataPrefix...)
		k.buf = append(k.buf, doneData...)
		k.buf = append(k.buf, eventEnd...)
		_, _ = k.x.w.Write(k.buf) // the caller has the answer; it may have left
	}
	return nil
}

// fail ends a stream that has begun by an event that carries the refusal.
func (k *sink) fail(r refuse.Refusal) {
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
