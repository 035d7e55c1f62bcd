package side

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/buffer"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// Finish reasons of a run, as the chat-completion protocol names them.
const (
	reasonStop   = "stop"
	reasonLength = "length"
)

// Errors of a run at the target.
var (
	// errStalled: the engine sent no output within Options.FirstByte, or no further
	// output within Options.BetweenTokens.
	errStalled = errors.New("target made no progress within the time limit")
	// errOutputLimit: the output reached the reservation, and the run is cut off.
	errOutputLimit = errors.New("output reached the reservation")
	// errNotSent: the request did not leave this process.
	errNotSent = errors.New("request was not sent")
	// errNoEnd: the engine's stream ended before its [DONE] event.
	errNoEnd = errors.New("engine's stream ended before its [DONE] event")
	// errResponseTooLarge: the response exceeds Options.MaxResponse.
	errResponseTooLarge = errors.New("response exceeds the size limit")
)

// statusError is the HTTP status of an engine's response, other than 200.
type statusError int

// Error describes the status.
func (e statusError) Error() string {
	return fmt.Sprintf("engine responded with HTTP status %d", int(e))
}

// modelRun is one run of a model request at an engine.
type modelRun struct {
	s    *Server
	sh   *shard
	r    *run
	work *wire.ModelWork
	// engineID is the run's id at the engine. Each run of a request has its own, so
	// a late cancellation cannot end another run.
	engineID string
	// model names the weights that the engine runs on. It is empty if the caller's
	// name for the model is passed on.
	model string
	meter meter
	// first is the engine's first event. It supplies the fields that all events
	// share.
	first   delta
	content strings.Builder
	// encoded is the size of the content in JSON, and empty what events without content count.
	// reserved is what is reserved for the content of the memory that all runs share. All are
	// in bytes.
	encoded, empty int64
	reserved       int64
	reason         string
}

// runModel carries out a model request and ends the run.
func (s *Server) runModel(ctx context.Context, sh *shard, r *run, priority uint32, work *wire.ModelWork) {
	m := &modelRun{
		s: s, sh: sh, r: r, work: work, engineID: s.runName(r), reason: reasonStop,
		meter: newMeter(work.GetPromptBound(), work.GetOutputBound(), wire.SumCharges(r.charges)),
	}
	model, release, refusal := s.acquireWeights()
	if refusal != nil {
		s.refuse(sh, r, refusal, end{})
		return
	}
	defer release()
	m.model = model
	defer func() { s.buffers.Release(m.reserved) }()
	body, err := engineBody(work.GetBody(), model, m.meter.maxOutput)
	if err != nil {
		s.refuse(sh, r, notRun(refuse.CodeBadRequest, 0, err.Error()), end{})
		return
	}
	m.endRun(m.exchange(ctx, body, priority))
}

// exchange sends the request and forwards the events up to the last one. It
// returns errStalled if the engine makes no progress, and errOutputLimit if the
// output was cut off.
func (m *modelRun) exchange(ctx context.Context, body []byte, priority uint32) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(m.s.opts.FirstByte, func() { cancel(errStalled) })
	defer watchdog.Stop()
	resp, err := m.send(ctx, body, priority)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode)
	}
	err = m.forwardEvents(ctx, newEvents(resp.Body), func() { watchdog.Reset(m.s.opts.BetweenTokens) })
	if cause := context.Cause(ctx); err != nil && cause != nil && !errors.Is(err, errOutputLimit) {
		return cause
	}
	return err
}

// send posts the request. The error wraps errNotSent if no connection was
// obtained.
func (m *modelRun) send(ctx context.Context, body []byte, priority uint32) (*http.Response, error) {
	trace := m.s.newTrace()
	url := m.s.opts.Target + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(trace.attach(ctx), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequest, m.engineID)
	req.Header.Set(headerPriority, strconv.FormatUint(uint64(priority), 10))
	setFence(req.Header, m.s.fence.Load())
	propagate(ctx, req.Header)
	m.sh.update(m.r, func(*table) { m.r.markSent() })
	resp, err := m.s.client.Do(req)
	if err == nil {
		return resp, nil
	}
	if trace.notSent() {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if cause := context.Cause(ctx); cause != nil {
		return nil, cause
	}
	return nil, err
}

// forwardEvents forwards the events up to the engine's last one, and calls progress
// for each event.
func (m *modelRun) forwardEvents(ctx context.Context, ev *events, progress func()) error {
	for {
		data, err := ev.next()
		if errors.Is(err, io.EOF) {
			return errNoEnd
		}
		if err != nil {
			return err
		}
		progress()
		if bytes.Equal(data, doneData) {
			return nil
		}
		if err := m.handleEvent(ctx, data); err != nil {
			return err
		}
	}
}

// handleEvent meters one event and forwards it, or collects its content if the
// caller did not ask for a stream.
func (m *modelRun) handleEvent(ctx context.Context, data []byte) error {
	d, err := parseDelta(data)
	if err != nil {
		return err
	}
	if m.first.ID == "" {
		m.first = d
	}
	if d.Usage != nil {
		m.meter.prompt = d.Usage.PromptTokens
	}
	if reason := d.finishReason(); reason != "" {
		m.reason = reason
	}
	text := d.content()
	tokens := int64(0)
	if text != "" {
		tokens = 1
	}
	if !m.meter.addOutput(tokens) {
		return errOutputLimit
	}
	if !m.work.GetStream() {
		return m.collect(ctx, text)
	}
	return m.add(ctx, chunk{data: data, tokens: tokens})
}

// encodedOverhead is the memory that an unstreamed response takes, as a multiple of its encoded
// size: its content and its encoded form.
const encodedOverhead = 2 * buffer.Overhead

// collect appends content to the unstreamed response. An event without content counts too, so
// that a response of such events ends.
func (m *modelRun) collect(ctx context.Context, text string) error {
	if text == "" {
		m.empty += chunkOverhead
	}
	if int64(m.content.Len()+len(text))+m.empty > int64(m.s.opts.MaxResponse) {
		return errResponseTooLarge
	}
	m.encoded += encodedSize(text)
	if need := encodedOverhead * m.encoded; need > buffer.Free+m.reserved {
		if err := m.s.reserve(ctx, &m.reserved, max(buffer.Free, need-m.reserved)); err != nil {
			return err
		}
	}
	m.content.WriteString(text)
	return nil
}

// encodedSize returns the most bytes that encoding/json takes for the text.
func encodedSize(text string) (n int64) {
	for _, c := range text {
		if c < ' ' || strings.ContainsRune("\"\\<>&\u2028\u2029\ufffd", c) {
			n += int64(len(`\u0000`))
			continue
		}
		n += int64(utf8.RuneLen(c))
	}
	return n
}

// add appends a chunk to the run's output.
func (m *modelRun) add(ctx context.Context, c chunk) error {
	m.sh.mu.Lock()
	size, memory, reserved := m.r.bytes+len(c.data), m.r.memory()+len(c.data)+chunkOverhead, m.r.reserved
	m.sh.mu.Unlock()
	if size > m.s.opts.MaxResponse {
		return errResponseTooLarge
	}
	if need := int64(memory - buffer.Free); need > reserved {
		held := reserved
		if err := m.s.reserve(ctx, &held, max(buffer.Free, need-reserved)); err != nil {
			return err
		}
		m.sh.update(m.r, func(t *table) { t.keepReserved(m.r, held-reserved) })
	}
	m.sh.update(m.r, func(*table) { m.r.add(c) })
	return nil
}

// endRun ends the run according to the error of its exchange.
func (m *modelRun) endRun(err error) {
	switch {
	case err == nil:
		m.finish()
	case errors.Is(err, errOutputLimit):
		m.s.stats.truncated.Add(1)
		m.cancelAtEngine()
		m.reason = reasonLength
		if m.work.GetStream() {
			m.sh.update(m.r, func(*table) { m.r.add(chunk{data: truncatedEvent(m.first, &m.meter)}) })
		}
		m.finish()
	case errors.Is(err, errNotSent):
		m.s.refuse(m.sh, m.r, notRun(refuse.CodeNoTarget, time.Second, err.Error()), end{})
	default:
		m.endInterrupted(err)
	}
}

// finish ends the run with its response.
func (m *modelRun) finish() {
	if !m.work.GetStream() {
		data := plainResponse(m.first, m.content.String(), m.reason, &m.meter)
		m.sh.update(m.r, func(t *table) {
			for _, part := range split(data) {
				m.r.add(chunk{data: part})
			}
			t.keepReserved(m.r, m.reserved)
			m.reserved = 0
		})
	}
	m.s.finish(m.sh, m.r, m.end(m.meter.bill(), m.reason))
}

// end returns the end of a run that costs the given tokens. The bill is limited to
// the reservation.
func (m *modelRun) end(tokens ledger.Tokens, reason string) end {
	billed := min(tokens, wire.SumCharges(m.r.charges))
	return end{billed: billed, charges: wire.FirstCharges(m.r.charges, billed), finishReason: reason}
}

// endInterrupted ends the run without a complete response, and bills the output
// that was produced. The refusal's outcome is "not run" only if the engine
// refused the request, or if there was no output and the engine confirmed that it
// cancelled the run.
func (m *modelRun) endInterrupted(err error) {
	var status statusError
	if errors.As(err, &status) && status == http.StatusNotFound && m.model != "" {
		// The target was restarted after it reported the weights as loaded.
		m.s.refuse(m.sh, m.r, notRun(refuse.CodeNoTarget, weightsRetryAfter, err.Error()), end{})
		return
	}
	if errors.As(err, &status) && refusesWork(int(status)) {
		m.s.refuse(m.sh, m.r, notRun(codeOf(int(status)), retryOf(int(status)), err.Error()), end{})
		return
	}
	if errors.Is(err, errStalled) {
		// If one connection is silent, all others to the target may be too.
		m.s.client.CloseIdleConnections()
	}
	confirmed := m.cancelAtEngine()
	message := fmt.Sprintf("the run was interrupted: %v", err)
	if confirmed && m.meter.output == 0 {
		m.s.refuse(m.sh, m.r, notRun(refuse.CodeInterrupted, time.Second, message), end{})
		return
	}
	m.s.refuse(m.sh, m.r, unknown(refuse.CodeInterrupted, time.Second, message), m.end(m.meter.billPartial(), ""))
}

// cancelAtEngine asks the engine to cancel the run and reports whether the engine
// confirmed the cancellation. It uses a new connection, since the old ones may be
// silent.
func (m *modelRun) cancelAtEngine() bool {
	ctx, stop := context.WithTimeout(m.s.base, orderTimeout)
	defer stop()
	status, err := m.s.postJSON(ctx, m.s.noReuseClient, "/v1/cancel", m.s.fence.Load(), struct {
		RequestID string `json:"request-id"`
	}{RequestID: m.engineID})
	return err == nil && status == http.StatusOK
}

// refusesWork reports whether the status means that the engine has not started
// the work.
func refusesWork(status int) bool {
	return status >= 400 && status < 500 || status == http.StatusServiceUnavailable
}

// codeOf returns the refusal code for the engine's status.
func codeOf(status int) refuse.Code {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refuse.CodeBusy
	case http.StatusRequestEntityTooLarge:
		return refuse.CodeTooLarge
	case http.StatusConflict, http.StatusPreconditionFailed:
		return refuse.CodeDraining
	}
	return refuse.CodeBadRequest
}

// retryOf returns the retry delay for the engine's status, or 0 for no delay.
func retryOf(status int) time.Duration {
	if codeOf(status) == refuse.CodeBusy {
		return time.Second
	}
	return 0
}

// maxChunk is the largest size of a chunk's data, in bytes.
const maxChunk = 256 << 10

// split cuts a response into parts of at most maxChunk bytes.
func split(data []byte) [][]byte {
	var parts [][]byte
	for len(data) > maxChunk {
		parts = append(parts, data[:maxChunk])
		data = data[maxChunk:]
	}
	if len(data) > 0 {
		parts = append(parts, data)
	}
	return parts
}
