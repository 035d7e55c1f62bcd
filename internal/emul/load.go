package emul

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Outcomes of a request, as seen by its caller.
const (
	inAim   = "in-aim"
	late    = "late"
	refused = "refused"
	failed  = "failed"
)

// caller sends the requests of all organisations.
type caller struct {
	f      *fleet
	client *http.Client
	tally  *tally
}

// request is one request of a caller. A caller may send it several times.
type request struct {
	kind           *Kind
	org            *Organisation
	instance       *instance
	prompt, output int64
	prefix         int
	id             string
	body           string
	// begun is the id of the try that brought the first event, got the number of events
	// that the caller has, and version that of the target that made them.
	begun   string
	got     int64
	version string
}

// load sends requests as a Poisson process for the length of the scenario, and waits
// until all have ended.
func (c *caller) load(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(c.f.s.Seed, 0))
	began := time.Now()
	var wg sync.WaitGroup
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(rnd.ExpFloat64() / c.rate() * float64(time.Second))
		if at > c.f.s.Length {
			break
		}
		a := c.draw(rnd, n)
		if time.Sleep(time.Until(began.Add(at))); ctx.Err() != nil {
			break
		}
		wg.Go(func() { c.send(ctx, a) })
	}
	wg.Wait()
}

// rate returns the total rate of all kinds, in requests per second.
func (c *caller) rate() (sum float64) {
	for i := range c.f.s.Kinds {
		sum += c.f.s.Kinds[i].Rate
	}
	return sum
}

// draw returns request n at random: its kind by rate, its organisation by share.
func (c *caller) draw(rnd *rand.Rand, n int) request {
	s := &c.f.s
	a := request{instance: c.f.instances[rnd.IntN(len(c.f.instances))]}
	rest := rnd.Float64() * c.rate()
	for i := range s.Kinds {
		a.kind = &s.Kinds[i]
		if rest -= a.kind.Rate; rest < 0 {
			break
		}
	}
	shares := 0.0
	for i := range s.Organisations {
		shares += s.Organisations[i].Share
	}
	a.id, a.body = fmt.Sprintf("%s/%d", a.kind.Name, n), fmt.Sprintf(`{"n":%d}`, n)
	rest = rnd.Float64() * shares
	for i := range s.Organisations {
		a.org = &s.Organisations[i]
		if rest -= a.org.Share; rest < 0 {
			break
		}
	}
	// Sizes are uniform between half of the mean and one and a half times it.
	a.prompt = max(1, a.kind.Shared, a.kind.Prompt/2+rnd.Int64N(a.kind.Prompt))
	a.output = max(1, a.kind.Output/2+rnd.Int64N(a.kind.Output))
	a.prefix = rnd.IntN(a.kind.Prefixes)
	if a.kind.Crashes {
		a.prefix = rnd.IntN(s.Kinds[0].Prefixes)
	}
	if a.kind.Deadly > 0 {
		c.f.makeDeadly(&a, rnd.IntN(a.kind.Deadly))
	}
	return a
}

// makeDeadly makes the request the given one of the deadly requests of its kind.
func (f *fleet) makeDeadly(a *request, which int) {
	a.id += deadlyMark + strconv.Itoa(which)
	a.body = fmt.Sprintf(`{"deadly":%d}`, which)
	a.org = &f.s.Organisations[which%len(f.s.Organisations)]
	a.prompt, a.output, a.prefix = max(a.kind.Prompt, a.kind.Shared), a.kind.Output, which%f.s.Kinds[0].Prefixes
}

// send sends the request. It retries a refused request after the time that the
// response gives, if this is before the deadline and the kind allows another retry.
func (c *caller) send(ctx context.Context, a request) {
	began := time.Now()
	end := began.Add(a.kind.Deadline)
	takenUp, returned := 0, 0
	for attempt := 0; ; attempt++ {
		outcome, after := c.sendOnce(ctx, &a, attempt, began, end)
		if outcome == failed && a.got > 0 && takenUp < a.kind.TakeUps && time.Now().Before(end) {
			takenUp++
			a.instance = c.f.instances[rand.IntN(len(c.f.instances))]
			c.tally.takeUp()
			c.tally.attempt(true)
			continue
		}
		if takenUp > 0 && outcome != failed && outcome != refused {
			c.tally.wentOn()
		}
		again := outcome == refused && after > 0 && returned < a.kind.Retries && time.Now().Add(after).Before(end)
		returned++
		c.tally.attempt(again)
		if !again {
			c.tally.end(a, outcome)
			return
		}
		time.Sleep(after)
	}
}

// sendOnce makes one attempt at the request. If the request was refused, after is
// the time until it may be retried, or 0 if it may not be retried.
func (c *caller) sendOnce(ctx context.Context, a *request, attempt int, began, end time.Time) (outcome string, after time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.instance.options.Listen+"/"+a.kind.Name+"/", strings.NewReader(a.body))
	if err != nil {
		return failed, 0
	}
	req.Host = "model.example"
	req.GetBody = nil // The HTTP client must not repeat the request by itself.
	id := fmt.Sprintf("%s.%d", a.id, attempt)
	c.f.senders.add(id, a.instance)
	defer c.f.senders.remove(id)
	req.Header.Set(dialect.RequestID, id)
	req.Header.Set(dialect.Key, a.org.Name)
	req.Header.Set(dialect.Deadline, strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	if a.got > 0 {
		req.Header.Set(dialect.LastEvent, strconv.FormatInt(a.got, 10))
		req.Header.Set(dialect.Resumes, a.begun)
	}
	if !a.kind.Plain {
		req.Header.Set(dialect.Tokens, fmt.Sprintf("%d,%d", a.prompt, a.output))
	}
	switch {
	case a.kind.Plain:
	case a.kind.Crashes:
		req.Header.Set(dialect.Prefix, fmt.Sprintf("%d:%d,%s", a.prefix, a.kind.Shared, crashPart))
	case a.kind.Shared > 0:
		req.Header.Set(dialect.Prefix, fmt.Sprintf("%d:%d", a.prefix, a.kind.Shared))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return failed, 0
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		read := c.read
		if a.kind.Plain {
			read = c.readPlain
		}
		first, err := read(resp.Body, a, id)
		if err != nil {
			return failed, 0
		}
		if first.Sub(began) > a.kind.Goal {
			return late, 0
		}
		return inAim, 0
	case http.StatusPaymentRequired, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // A missing field is 0: no retry.
		return refused, time.Duration(seconds * float64(time.Second))
	}
	return failed, 0
}

// errStream is returned if the events of a stream are not exactly those expected.
var errStream = errors.New("stream has missing, repeated or extra events")

// read reads the events of a stream and returns the time of the first one. The event
// ids must count from 1 up to the number that the output needs, without a gap.
func (c *caller) read(body io.Reader, a *request, id string) (first time.Time, err error) {
	next, per := a.got+1, c.f.s.EventTokens
	defer func() { c.tally.used(a.org.Name, a.prompt+min(a.output, (next-1)*per)) }()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		version, ok := strings.CutPrefix(lines.Text(), "data: ")
		if ok && a.begun == "" {
			a.begun, a.version = id, version
		}
		if ok && version != a.version {
			c.tally.violation(fmt.Sprintf("request %s: got event %d of version %s after one of version %s", a.id, a.got, version, a.version))
			return first, errStream
		}
		number, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		if first.IsZero() {
			first = time.Now()
		}
		if number != strconv.FormatInt(next, 10) {
			c.tally.violation(fmt.Sprintf("request %s: got event %s, want event %d", a.id, number, next))
			return first, errStream
		}
		a.got = next
		next++
	}
	if err := lines.Err(); err != nil {
		return first, err
	}
	if want := (a.output + per - 1) / per; next-1 != want {
		c.tally.violation(fmt.Sprintf("request %s: stream ended without an error after %d of %d events", a.id, next-1, want))
		return first, errStream
	}
	return first, nil
}

// readPlain reads the response to a request without a prompt, which is the request's id,
// and returns when it was complete.
func (c *caller) readPlain(body io.Reader, a *request, _ string) (end time.Time, err error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return time.Time{}, err
	}
	if !strings.HasPrefix(string(data), a.id+".") {
		c.tally.violation(fmt.Sprintf("request %s: got the response %q", a.id, data))
		return time.Time{}, errStream
	}
	return time.Now(), nil
}
