package engd

import (
	"container/heap"
	"slices"
	"sync/atomic"
	"time"
)

// phase is how far a run has come.
type phase int32

const (
	inProgress phase = iota
	finished
	cancelled
	// cutOff ends a run without an answer, as the engine died.
	cutOff
)

// run is one request at the engine. As the answer is known from the prompt, the
// run only counts the tokens made.
type run struct {
	id       string
	priority int
	arrival  uint64
	prompt   []string
	answer   answer
	// prefill is the number of prompt tokens still to be processed, and cached
	// the number that the prefix cache held.
	prefill int
	cached  int

	// made is written under the engine's lock, before phase.
	made  atomic.Int64
	phase atomic.Int32
	// wake tells the handler of progress.
	wake chan struct{}
}

// end sets the last phase and tells the handler.
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

// progress returns the run's phase and the tokens made by then.
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

// submit queues a request, and starts the loop where it stands still.
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
		answer:   answerTo(req, sw.AnswerTokens),
		wake:     make(chan struct{}, 1),
	}
	heap.Push(&e.waiting, r)
	if e.kick == nil {
		e.kick = make(chan struct{}, 1)
	}
	if !e.looping {
		e.looping = true
		go e.loop()
	}
	return r, nil
}

// cancel ends the runs that match, and returns how many there were and the
// tokens that they had made.
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
		case e.kick <- struct{}{}:
		default:
		}
	}
	return runs, tokens
}

// loop decodes step by step until no run is left.
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
			case <-e.kick:
			}
			continue
		}
		if step > 0 {
			// Steps are paced by deadlines, so that late wake-ups do not add up.
			next = laterOf(next, time.Now().Add(-step)).Add(step)
			time.Sleep(time.Until(next))
		}
		e.endStep()
	}
}

// beginStep fills the free slots and returns the time that the step takes. It
// is false, and the loop ends, where there is nothing to do.
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

// endStep gives each running request one token.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(r *run) bool {
		made := int(r.made.Add(1))
		e.counts.token(r.id)
		if made < r.answer.tokens {
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
