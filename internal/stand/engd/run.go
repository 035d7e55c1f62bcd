package engd

import (
	"container/heap"
	"slices"
	"sync/atomic"
	"time"
)

// phase is the state of a run.
type phase int32

const (
	inProgress phase = iota
	finished
	cancelled
	// cutOff is the phase of a run that ended without a response because the engine
	// died.
	cutOff
)

// run is one request at the engine. The response follows from the prompt, so the run only
// counts the generated tokens.
type run struct {
	id       string
	priority int
	arrival  uint64
	prompt   []string
	response response
	// prefill is the number of prompt tokens still to be processed, and cached
	// the number that the prefix cache held.
	prefill int
	cached  int

	// made is the number of generated tokens. It is written under the engine's lock,
	// before phase.
	made  atomic.Int64
	phase atomic.Int32
	// wake notifies the handler of progress.
	wake chan struct{}
}

// end sets the final phase and notifies the handler.
func (r *run) end(p phase) {
	r.phase.Store(int32(p))
	r.notify()
}

func (r *run) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// progress returns the run's phase and the number of generated tokens. It reads phase
// first: the number is final if the phase is.
func (r *run) progress() (phase, int) {
	p := phase(r.phase.Load())
	return p, int(r.made.Load())
}

// queue is a heap of the waiting runs, by priority and then by arrival.
type queue []*run

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a run, for package heap.
func (q *queue) Push(x any) { *q = append(*q, x.(*run)) }

// Pop removes the last run, for package heap.
func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return r
}

// submit queues a request and starts the loop if it is not running. It returns errFenced,
// errNoModel or errFull if it refuses the request.
func (e *Engine) submit(req chatRequest, id string, priority int, fence uint64) (*run, error) {
	sw := e.Switches.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(fence, sw); err != nil {
		return nil, err
	}
	if !e.models.serves(req.Model) {
		return nil, errNoModel
	}
	if sw.MaxWaiting > 0 && len(e.waiting) >= sw.MaxWaiting {
		return nil, errFull
	}
	e.arrived++
	r := &run{
		id:       id,
		priority: priority,
		arrival:  e.arrived,
		prompt:   req.prompt(),
		response: responseTo(req, sw.AnswerTokens),
		wake:     make(chan struct{}, 1),
	}
	heap.Push(&e.waiting, r)
	if e.wakeLoop == nil {
		e.wakeLoop = make(chan struct{}, 1)
	}
	if !e.looping {
		e.looping = true
		go e.loop()
	}
	return r, nil
}

// cancel ends the matching runs. It returns their number and the number of tokens that
// they had generated.
func (e *Engine) cancel(match func(*run) bool) (runs, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	drop := func(r *run) bool {
		if !match(r) {
			return false
		}
		runs++
		tokens += int(r.made.Load())
		e.counts.cancel(r.id)
		r.end(cancelled)
		return true
	}
	e.running = slices.DeleteFunc(e.running, drop)
	e.waiting = slices.DeleteFunc(e.waiting, drop)
	heap.Init(&e.waiting)
	if runs > 0 {
		select {
		case e.wakeLoop <- struct{}{}:
		default:
		}
	}
	return runs, tokens
}

// loop executes decoding steps until no run is left.
func (e *Engine) loop() {
	next := time.Now()
	for {
		sw, changed := e.Switches.Get(), e.Switches.Changed()
		step, more := e.beginStep(sw)
		if !more {
			return
		}
		if sw.Silent {
			select {
			case <-changed:
			case <-e.wakeLoop:
			}
			continue
		}
		if step > 0 {
			// Sleeping until absolute times keeps late wake-ups from adding up.
			next = laterOf(next, time.Now().Add(-step)).Add(step)
			time.Sleep(time.Until(next))
		}
		e.endStep()
	}
}

// beginStep moves waiting runs into free slots and returns the duration of the step. It
// returns false, which ends the loop, if no run is left.
func (e *Engine) beginStep(sw Switches) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sw.Die {
		e.crashLocked()
	}
	prefill := 0
	for !sw.Silent && len(e.running) < sw.slots() && len(e.waiting) > 0 {
		r := heap.Pop(&e.waiting).(*run)
		r.cached = e.cache.use(r.prompt, sw, time.Now())
		prefill += len(r.prompt) - r.cached
		e.running = append(e.running, r)
		e.counts.start(r.id, len(r.prompt))
	}
	e.looping = len(e.running)+len(e.waiting) > 0
	return sw.step(len(e.running), prefill), e.looping
}

// endStep adds one token to each running request and ends those that are complete.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(r *run) bool {
		made := int(r.made.Add(1))
		e.counts.token(r.id)
		if made < r.response.tokens {
			r.notify()
			return false
		}
		r.end(finished)
		return true
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
