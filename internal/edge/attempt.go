package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/beryllanding/beryllanding/pkg/http1"
	"github.com/beryllanding/beryllanding/pkg/pool"
)

const (
	// maxResponseHead bounds the header of a target's response, in bytes.
	maxResponseHead = 64 << 10
	// maxResponseBody bounds the body of a buffered response, in bytes.
	maxResponseBody = 16 << 20
	// maxRefusalBody bounds what is read of the body of a refusal, in bytes. The connection
	// is closed after a longer one.
	maxRefusalBody = 64 << 10
	// maxWrongResponses bounds the number of responses read to find the one to this
	// request. Late responses to earlier requests are skipped.
	maxWrongResponses = 4
	// maxInlineRequest is the size in bytes up to which a request is written before
	// the response is read. It fits into the send buffer of any connection.
	maxInlineRequest = 8 << 10
	// lateBodyTimeout is how long a target that responded early may take to read the
	// rest of the request body before its connection is closed.
	lateBodyTimeout = 100 * time.Millisecond
)

// expiredDeadline makes blocked reads and writes return immediately.
var expiredDeadline = time.Unix(1, 0)

// leg is an attempt on its connection.
type leg struct {
	*attempt
	conn *pool.Conn
	// ctx ends the leg.
	ctx  context.Context
	sent *requestWrite
	// head and body are the response's, or nil before it has begun. whole is the whole
	// response, or nil if its body has not been read.
	head  *http1.Head
	body  *http1.Body
	whole *response
	// asked is when another target was last looked for because this one was silent.
	asked time.Time
	// err is the error of the connection if it ended while a standby was waited for.
	err error
	// unwatch stops the function that ends the connection's reads and writes with ctx.
	unwatch func() bool
}

// connect returns a leg of the attempt, or the attempt's result.
func (x *exchange) connect(ctx context.Context, a *attempt) (*leg, attemptResult) {
	conn, err := a.target.pool.GetFor(ctx, x.id)
	if err != nil {
		if isCallerGone(endCause(x.ctx)) {
			return nil, uncertain{err: ErrCallerGone, forwarded: x.w.started}
		}
		return nil, notRun{err: err}
	}
	// Connecting takes up to pool.DefaultDialTimeout, and longer at an instance that is slow
	// or was frozen.
	if !x.e.fleet.accepts(x.service, a) {
		a.target.pool.Put(conn)
		return nil, notRun{err: ErrWithdrawn}
	}
	l := &leg{attempt: a, conn: conn}
	l.watch(ctx)
	return l, nil
}

// watch makes the leg end with the context.
func (l *leg) watch(ctx context.Context) {
	l.ctx = ctx
	l.unwatch = context.AfterFunc(ctx, func() {
		// The goroutine that reads from the connection closes it.
		_ = l.conn.SetDeadline(expiredDeadline)
	})
}

// release gives the connection back to its pool, or closes it.
func (x *exchange) release(l *leg, result attemptResult) {
	stopped := l.unwatch()
	if _, refused := result.(notRun); refused {
		l.conn.NoteRefused(x.id)
	}
	if l.reusable() && stopped {
		l.target.pool.Put(l.conn)
	} else {
		_ = l.conn.Close() // The connection is discarded either way.
	}
}

// reusable reports whether the response was read to its end, and the connection can carry
// another request.
func (l *leg) reusable() bool {
	return l.head != nil && l.body != nil && l.body.Complete() && !l.head.Close && l.sent.complete()
}

// attempt sends the request to one target and forwards the response.
func (x *exchange) attempt(a *attempt) attemptResult {
	l, result := x.connect(x.ctx, a)
	if l == nil {
		return result
	}
	return x.finish(l, x.containedRoundTrip(l))
}

// finish releases a leg and returns its result.
func (x *exchange) finish(l *leg, result attemptResult) attemptResult {
	x.release(l, result)
	if cause := endCause(x.ctx); cause != nil {
		if u, ok := result.(uncertain); ok {
			u.err = errors.Join(cause, u.err)
			return u
		}
	}
	return result
}

// roundTrip sends the request on the leg's connection and forwards the response.
func (x *exchange) roundTrip(l *leg) attemptResult {
	if l.head == nil {
		if result := x.begin(l); result != nil {
			return result
		}
	}
	result := x.forward(l)
	if _, ok := result.(notRun); !ok {
		x.mayHaveStarted = true
	}
	return result
}

// begin sends the request and reads the head of the response. It returns nil if the response
// may be forwarded, and else the attempt's result.
func (x *exchange) begin(l *leg) attemptResult {
	if err := l.conn.SetWriteDeadline(x.deadline); err != nil {
		return notRun{err: err}
	}
	if err := l.setReadDeadline(x.deadline); err != nil {
		return notRun{err: err}
	}
	l.sent = x.write(l)
	if err := l.sent.earlyErr(); err != nil {
		if l.sent.noneWritten {
			return notRun{err: err}
		}
		x.mayHaveStarted = true
		return uncertain{err: err, forwarded: x.w.started}
	}
	head, err := x.readHead(l)
	if err == nil {
		err = l.setReadDeadline(x.deadline)
	}
	if err != nil {
		x.mayHaveStarted = true
		return uncertain{err: err, forwarded: x.w.started}
	}
	l.head, l.body = head, http1.NewBody(l.conn.Reader, head)
	if n := keepAliveTimeout(head.Get("Keep-Alive")); n > 0 {
		l.conn.SetIdleTimeout(n)
	}
	result := x.checkHead(l)
	if _, ok := result.(notRun); !ok {
		x.mayHaveStarted = true
	}
	return result
}

// requestWrite is the write of a request, which may still be in progress.
type requestWrite struct {
	done chan error
	err  error
	// noneWritten is set if no byte was written.
	noneWritten bool
	ended       bool
}

// earlyErr returns the error of the write if it has already failed.
func (w *requestWrite) earlyErr() error {
	if w.ended {
		return w.err
	}
	return nil
}

// complete reports whether the whole request was written. If the target responded before
// it had read the whole body, complete waits up to lateBodyTimeout for it to read the
// rest.
func (w *requestWrite) complete() bool {
	if w.ended {
		return w.err == nil
	}
	select {
	case err := <-w.done:
		return err == nil
	case <-time.After(lateBodyTimeout):
		return false
	}
}

// write sends the request. A request above maxInlineRequest is written in its own
// goroutine, since a target may respond before it has read the body.
func (x *exchange) write(l *leg) *requestWrite {
	conn, parts := l.conn, [][]byte{x.encodeHead(l.attempt), x.body}
	if len(x.body) <= freeBuffer { // A large body is held once.
		parts = [][]byte{append(parts[0], x.body...)}
	}
	if len(parts) == 1 && len(parts[0]) <= maxInlineRequest {
		n, err := conn.Write(parts[0])
		return &requestWrite{err: err, ended: true, noneWritten: n == 0}
	}
	w := &requestWrite{done: make(chan error, 1)}
	go func() {
		var err error
		for _, part := range parts {
			if _, err = conn.Write(part); err != nil {
				break
			}
		}
		w.done <- err
	}()
	return w
}

// encodeHead returns the request up to its body in the form that is sent to the target.
func (x *exchange) encodeHead(a *attempt) []byte {
	d := &x.e.Dialect
	buf := make([]byte, 0, 1024+min(freeBuffer, len(x.body)))
	buf = append(buf, x.head.Method...)
	buf = append(buf, ' ')
	buf = append(buf, x.head.Path...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	for i := range x.head.Fields {
		f := &x.head.Fields[i]
		if d.forwardsField(f.Name) && x.head.EndToEnd(f.Name) {
			buf = append(buf, f.Name...)
			buf = append(buf, ": "...)
			buf = append(buf, f.Value...)
			buf = append(buf, "\r\n"...)
		}
	}
	if x.lastEvent >= 0 {
		buf = http1.AppendField(buf, d.LastEvent, strconv.AppendInt(nil, x.lastEvent, 10))
	}
	left := max(1, time.Until(x.deadline).Milliseconds())
	buf = http1.AppendField(buf, d.Deadline, strconv.AppendInt(nil, left, 10))
	buf = http1.AppendField(buf, d.Expect, []byte(a.target.ID))
	if x.org != nil {
		buf = http1.AppendField(buf, d.Organisation, []byte(x.org.Name))
	}
	if x.tokens.Prompt > 0 {
		buf = http1.AppendField(buf, d.Priority, strconv.AppendInt(nil, int64(x.priority()), 10))
	}
	if len(x.body) > 0 || x.head.Framing != http1.FramingNone {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(x.body)), 10)
		buf = append(buf, "\r\n"...)
	}
	return append(buf, "\r\n"...)
}

// lowestPriority is the least urgent priority that targets accept.
const lowestPriority = 9

func (x *exchange) priority() int {
	p := x.route.Priority
	if x.org != nil && x.org.HasPriority {
		p = x.org.Priority
	}
	return min(lowestPriority, max(0, p))
}

// forwardsField reports whether a caller's header field is forwarded. Fields that the
// system sets are not forwarded.
func (d *Dialect) forwardsField(name []byte) bool {
	for _, reserved := range []string{d.Key, d.Deadline, d.Expect, d.Organisation, d.Priority, d.LastEvent} {
		if http1.EqualName(name, reserved) {
			return false
		}
	}
	for _, reserved := range d.Internal {
		if http1.EqualName(name, reserved) {
			return false
		}
	}
	return true
}

// minSilence is the least time without a byte from a target after which a repeatable
// request fails over to another target. Short requests take a tenth of this time.
const minSilence = 250 * time.Millisecond

// awaitData waits for the next byte from the target without consuming it. If the target has
// sent nothing on any of its connections for the allowed time, and the request may fail over,
// awaitData looks for another target. It returns ErrSilent once that one has taken the request,
// and waits on otherwise. awaitData only peeks, so a wait that times out loses no data.
func (x *exchange) awaitData(l *leg) error {
	if l.conn.Reader.Buffered() > 0 {
		return nil
	}
	maxSilence := max(minSilence, x.route.Goal)
	for {
		deadline := x.deadline
		if x.mayFailOver() {
			deadline = earlier(deadline, x.patience(l, maxSilence))
		}
		if err := l.setReadDeadline(deadline); err != nil {
			return err
		}
		_, err := l.conn.Reader.Peek(1)
		if err == nil {
			l.attempt.spoke()
			return nil
		}
		if errors.Is(err, io.EOF) {
			return nil // The next read returns the same EOF and handles it.
		}
		if !isDeadline(err) || l.ctx.Err() != nil || !time.Now().Before(x.deadline) {
			return err
		}
		if x.mayFailOver() && !time.Now().Before(x.patience(l, maxSilence)) {
			if err := x.standBy(l); err != nil {
				return err
			}
		}
	}
}

// patience returns when another target is to be looked for if the target stays silent.
func (x *exchange) patience(l *leg, maxSilence time.Duration) time.Time {
	at := time.Now().Add(maxSilence - x.e.fleet.silentFor(l.target, l.began))
	if again := l.asked.Add(maxSilence); again.After(at) {
		return again
	}
	return at
}

// setReadDeadline sets the read deadline of the connection. If the leg has ended, it returns
// endCause, since the new deadline may have replaced the expired one that stops reads
// then.
func (l *leg) setReadDeadline(t time.Time) error {
	if err := l.conn.SetReadDeadline(t); err != nil {
		return err
	}
	return endCause(l.ctx)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mayFailOver reports whether the request may be sent to another target although
// the current one may execute it.
func (x *exchange) mayFailOver() bool {
	return x.retry.mayFailOver(x.w.started)
}

// readHead reads the header of the response to this request. It skips late responses
// to earlier requests.
func (x *exchange) readHead(l *leg) (*http1.Head, error) {
	head := &http1.Head{}
	for range maxWrongResponses {
		if err := x.awaitData(l); err != nil {
			return nil, err
		}
		if err := head.ReadResponse(l.conn.Reader, maxResponseHead, x.head.Method); err != nil {
			return nil, err
		}
		x.e.fleet.markHeard(l.target)
		x.recordNotices(l.attempt, head)
		id := head.Get(x.e.Dialect.RequestID)
		if bytes.Equal(id, x.id) {
			if head.Status != statusMisdirected {
				x.recordLimit(l.attempt, head)
			}
			return head, nil
		}
		x.e.Meter.WrongResponse()
		if id == nil || head.Framing == http1.FramingClose {
			break
		}
		if err := http1.NewBody(l.conn.Reader, head).Discard(maxResponseBody); err != nil {
			return nil, err
		}
	}
	return nil, ErrWrongResponse
}

// checkHead classifies a response by its head. It returns nil if the response may be forwarded.
func (x *exchange) checkHead(l *leg) attemptResult {
	d, head := &x.e.Dialect, l.head
	if load, ok := d.ParseLoad(head.Get(d.Load)); ok {
		x.e.fleet.reportLoad(x.service, l.attempt, load)
	}
	if head.Get(d.NotRun) != nil || head.Status == statusMisdirected {
		err := l.body.Discard(maxRefusalBody)
		return notRun{sent: true, status: head.Status, err: err}
	}
	switch head.Status {
	case statusRequestTimeout, 429, statusUnavailable:
		return uncertain{err: fmt.Errorf("%w: status %d", ErrNotRunUnproven, head.Status), forwarded: x.w.started}
	}
	if head.Status/100 == 2 {
		if len(head.Get(d.Signature)) == 0 {
			return uncertain{err: ErrUnsigned, forwarded: x.w.started}
		}
		if head.Get("Content-Encoding") != nil {
			return uncertain{err: ErrEncoded, forwarded: x.w.started}
		}
		if err := x.checkRest(head); err != nil {
			return uncertain{err: err, forwarded: true}
		}
	}
	return nil
}

// forward forwards a response.
func (x *exchange) forward(l *leg) attemptResult {
	if x.isStream(l) {
		return x.forwardStream(l)
	}
	if err := x.readWhole(l); err != nil {
		return uncertain{err: err, forwarded: x.w.started}
	}
	resp := l.whole
	if resp.status/100 != 2 {
		if x.w.started {
			return uncertain{err: fmt.Errorf("target responded with status %d during a stream", resp.status), forwarded: true}
		}
		return failed{response: resp}
	}
	x.recordFirstByte()
	x.status = resp.status
	if err := x.w.writeResponse(resp, !x.isHead()); err != nil {
		return uncertain{err: errors.Join(ErrCallerGone, err), forwarded: true}
	}
	return responded{status: resp.status}
}

// readWhole reads the whole response before any of it is forwarded.
func (x *exchange) readWhole(l *leg) error {
	if l.whole != nil {
		return nil
	}
	x.e.fleet.firstByte(x.service, l.attempt)
	data, err := x.readBody(l.body)
	if err != nil {
		return err
	}
	l.whole = &response{status: l.head.Status, fields: x.responseFields(l.head), body: data}
	return nil
}

func (x *exchange) recordFirstByte() {
	if x.firstByte == 0 {
		x.firstByte = time.Since(x.arrived)
	}
}

// responseFields returns the encoded end-to-end header fields of a response.
func (x *exchange) responseFields(head *http1.Head) []byte {
	var fields []byte
	for i := range head.Fields {
		f := &head.Fields[i]
		if !head.EndToEnd(f.Name) {
			continue
		}
		fields = append(fields, f.Name...)
		fields = append(fields, ": "...)
		fields = append(fields, f.Value...)
		fields = append(fields, "\r\n"...)
	}
	return fields
}

// keepAliveTimeout returns the idle timeout of a Keep-Alive field, or 0 if the field
// has no valid time-out.
func keepAliveTimeout(field []byte) time.Duration {
	for part := range bytes.SplitSeq(field, []byte(",")) {
		name, value, ok := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		if !ok || !http1.EqualName(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(string(value)); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
