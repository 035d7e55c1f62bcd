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

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// Reasons for which an engine's output ends.
const (
	reasonStop   = "stop"
	reasonLength = "length"
)

// Errors of a model run.
var (
	// errStalled: the target made no progress for too long.
	errStalled = errors.New("target made no progress")
	// errCut: the output reached the reservation.
	errCut = errors.New("output reached the reservation")
	// errNotSent: the request did not leave this process.
	errNotSent = errors.New("request was not sent")
	// errNoEnd: the engine's stream ended without its last event.
	errNoEnd = errors.New("engine's stream ended early")
	// errAnswerTooLarge: the answer exceeds Options.MaxAnswer.
	errAnswerTooLarge = errors.New("answer exceeds the size limit")
)

// statusError is an HTTP status by which an engine refused a request.
type statusError int

// Error returns the status in words.
func (e statusError) Error() string {
	return fmt.Sprintf("engine answered with HTTP status %d", int(e))
}

// modelRun is one run at an engine.
type modelRun struct {
	s    *Server
	sh   *shard
	r    *run
	work *wire.ModelWork
	// name is the run's id at the engine. A request that is run again has
	// another one, so that a late cancellation cannot hit the wrong run.
	name string
	// model is the weights that the run is ordered on, empty where the caller's
	// name for the model is passed on.
	model string
	meter meter
	// first is the first event, for the fields that all events share.
	first   delta
	content strings.Builder
	reason  string
}

// runModel runs a model request until its end.
func (s *Server) runModel(ctx context.Context, sh *shard, r *run, priority uint32, work *wire.ModelWork) {
	m := &modelRun{
		s: s, sh: sh, r: r, work: work, name: s.attemptName(r), reason: reasonStop,
		meter: newMeter(work.GetPromptBound(), work.GetOutputBound(), wire.SumCharges(r.charges)),
	}
	model, release, refusal := s.beginModel()
	if refusal != nil {
		s.refuse(sh, r, refusal, end{})
		return
	}
	defer release()
	m.model = model
	body, err := engineBody(work.GetBody(), model, m.meter.allowed)
	if err != nil {
		s.refuse(sh, r, notRun(refuse.CodeBadRequest, 0, err.Error()), end{})
		return
	}
	m.conclude(m.exchange(ctx, body, priority))
}

// exchange sends the request and passes the events on until the last.
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
	err = m.pass(newEvents(resp.Body), func() { watchdog.Reset(m.s.opts.BetweenTokens) })
	if cause := context.Cause(ctx); err != nil && cause != nil && !errors.Is(err, errCut) {
		return cause
	}
	return err
}

// send posts the request. The error is errNotSent where no connection was had.
func (m *modelRun) send(ctx context.Context, body []byte, priority uint32) (*http.Response, error) {
	trace := m.s.newTrace()
	url := m.s.opts.Target + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(trace.attach(ctx), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequest, m.name)
	req.Header.Set(headerPriority, strconv.FormatUint(uint64(priority), 10))
	setFence(req.Header, m.s.fence.Load())
	propagate(ctx, req.Header)
	m.sh.update(m.r, func(*table) { m.r.begin() })
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

// pass passes events on until the engine's last, and reports progress.
func (m *modelRun) pass(ev *events, progress func()) error {
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
		if err := m.event(data); err != nil {
			return err
		}
	}
}

// event meters one event and passes it on.
func (m *modelRun) event(data []byte) error {
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
	if !m.meter.admit(tokens) {
		return errCut
	}
	if !m.work.GetStream() {
		return m.collect(text)
	}
	return m.add(chunk{data: data, tokens: tokens})
}

// collect keeps content for the plain answer.
func (m *modelRun) collect(text string) error {
	if m.content.Len()+len(text) > m.s.opts.MaxAnswer {
		return errAnswerTooLarge
	}
	m.content.WriteString(text)
	return nil
}

// add puts a chunk into the run's output.
func (m *modelRun) add(c chunk) error {
	m.sh.mu.Lock()
	defer m.sh.mu.Unlock()
	if m.r.bytes+len(c.data) > m.s.opts.MaxAnswer {
		return errAnswerTooLarge
	}
	m.r.add(c)
	m.r.notify()
	return nil
}

// conclude ends the run by the outcome of its exchange.
func (m *modelRun) conclude(err error) {
	switch {
	case err == nil:
		m.finish()
	case errors.Is(err, errCut):
		m.s.stats.cut.Add(1)
		m.cancelAtEngine()
		m.reason = reasonLength
		if m.work.GetStream() {
			_ = m.add(chunk{data: cutEvent(m.first, &m.meter)}) // the output is whole without it
		}
		m.finish()
	case errors.Is(err, errNotSent):
		m.s.refuse(m.sh, m.r, notRun(refuse.CodeNoTarget, time.Second, err.Error()), end{})
	default:
		m.interrupt(err)
	}
}

// finish ends the run with its answer.
func (m *modelRun) finish() {
	if !m.work.GetStream() {
		data := wholeAnswer(m.first, m.content.String(), m.reason, &m.meter)
		for _, part := range split(data) {
			m.sh.update(m.r, func(*table) { m.r.add(chunk{data: part}) })
		}
	}
	m.s.finish(m.sh, m.r, m.end(m.meter.bill(), m.reason))
}

// end returns the end of a run that costs the given tokens.
func (m *modelRun) end(tokens ledger.Tokens, reason string) end {
	billed := min(tokens, wire.SumCharges(m.r.charges))
	return end{billed: billed, charges: wire.TakeCharges(m.r.charges, billed), reason: reason}
}

// interrupt ends the run without an answer. What was produced is billed. That
// nothing ran is promised only where nothing was produced and the engine either
// refused the request or confirmed that it gave the run up.
func (m *modelRun) interrupt(err error) {
	var status statusError
	if errors.As(err, &status) && status == http.StatusNotFound && m.model != "" {
		// The target was restarted since it reported the weights.
		m.s.refuse(m.sh, m.r, notRun(refuse.CodeNoTarget, weightsAfter, err.Error()), end{})
		return
	}
	if errors.As(err, &status) && refusesWork(int(status)) {
		m.s.refuse(m.sh, m.r, notRun(codeOf(int(status)), retryOf(int(status)), err.Error()), end{})
		return
	}
	if errors.Is(err, errStalled) {
		// The connections may all have gone silent together.
		m.s.client.CloseIdleConnections()
	}
	confirmed := m.cancelAtEngine()
	message := fmt.Sprintf("the run was interrupted: %v", err)
	if confirmed && m.meter.output == 0 {
		m.s.refuse(m.sh, m.r, notRun(refuse.CodeInterrupted, time.Second, message), end{})
		return
	}
	m.s.refuse(m.sh, m.r, unknown(refuse.CodeInterrupted, time.Second, message), m.end(m.meter.billPart(), ""))
}

// cancelAtEngine asks the engine to give the run up, on a fresh connection, and
// reports whether it confirmed.
func (m *modelRun) cancelAtEngine() bool {
	ctx, stop := context.WithTimeout(m.s.base, orderTimeout)
	defer stop()
	status, err := m.s.postBy(ctx, m.s.onceClient, "/v1/cancel", m.s.fence.Load(), struct {
		RequestID string `json:"request-id"`
	}{RequestID: m.name})
	return err == nil && status == http.StatusOK
}

// refusesWork reports whether an engine that answers with the status has not
// started the work.
func refusesWork(status int) bool {
	return status >= 400 && status < 500 || status == http.StatusServiceUnavailable
}

// codeOf returns the reason that the engine's status stands for.
func codeOf(status int) refuse.Code {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refuse.CodeBusy
	case http.StatusRequestEntityTooLarge:
		return refuse.CodeTooLarge
	case http.StatusConflict, http.StatusPreconditionFailed:
		return refuse.CodeLeaving
	}
	return refuse.CodeBadRequest
}

// retryOf returns when to come back after the engine's status.
func retryOf(status int) time.Duration {
	if codeOf(status) == refuse.CodeBusy {
		return time.Second
	}
	return 0
}

// maxChunk bounds the data of one chunk, in bytes.
const maxChunk = 256 << 10

// split cuts an answer into chunks' data.
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
