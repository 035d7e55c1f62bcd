package entry

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// concurrentRetryAfter is when an organisation at its limit of requests in
// progress may come back.
const concurrentRetryAfter = time.Second

// Timeouts bounds the waits of a request. A zero field stands for its default.
type Timeouts struct {
	// FirstEvent is the time until the side process confirms the start.
	FirstEvent time.Duration
	// Claim is FirstEvent for work that must run at most once, which the side
	// process claims on the log before it confirms the start.
	Claim time.Duration
	// Progress is the time between two events of a run.
	Progress time.Duration
	// Probe bounds one question to a side process about an attempt.
	Probe time.Duration
	// Queue is the time that a request waits for a target.
	Queue time.Duration
	// Resolve bounds the questions about an attempt after its request ended.
	Resolve time.Duration
}

// Defaults of Timeouts.
const (
	defaultFirstEvent = 2 * time.Second
	defaultClaim      = 10 * time.Second
	defaultProgress   = 30 * time.Second
	defaultProbe      = time.Second
	defaultQueue      = 10 * time.Second
	defaultResolve    = 20 * time.Second
)

// Engine serves requests. The exported fields are set before use; those marked
// optional may be left zero.
type Engine struct {
	// DataCentre is this instance's own.
	DataCentre string
	Catalogue  Catalogue
	Budgets    Budgets
	Targets    Targets
	Dialer     Dialer
	// Orphans is optional.
	Orphans Orphans
	// FleetOffset returns the offset held of the fleet stream. It is optional.
	FleetOffset func() uint64
	// Services names the services whose targets Watch asks before their first
	// request came. It is optional.
	Services func() []string
	// Ran reports whether a request with this id ran, or may have, as the log
	// shows it; call says that it is a call of an application. It is optional,
	// and is asked before a keyed request is refused.
	Ran      func(id string, call bool) bool
	Timeouts Timeouts
	Policy   route.Policy
	// Retry is the retry budget that each service starts with, and QueueLen the
	// bound of its queue. Their zero values stand for the defaults.
	Retry    route.RetryBudget
	QueueLen int
	// Tracer is optional.
	Tracer trace.Tracer
	// Seed makes the choice of targets repeatable. Where it is 0, the choice is
	// random.
	Seed uint64
	// Counts only grow.
	Counts Counts

	once     sync.Once
	mu       sync.Mutex
	services map[string]*dispatcher
	// inProgress counts the requests of each organisation.
	inProgress map[string]int
	memory     memory
	// settling counts the settlements in the background.
	settling sync.WaitGroup
}

// init fills in the defaults.
func (e *Engine) init() {
	e.once.Do(func() {
		e.Timeouts = e.Timeouts.withDefaults()
		if e.Tracer == nil {
			e.Tracer = noop.NewTracerProvider().Tracer("entry")
		}
		e.services = make(map[string]*dispatcher)
		e.inProgress = make(map[string]int)
	})
}

// withDefaults returns the timeouts with zero ones replaced.
func (t Timeouts) withDefaults() Timeouts {
	t.FirstEvent = cmp.Or(t.FirstEvent, defaultFirstEvent)
	t.Claim = cmp.Or(t.Claim, defaultClaim)
	t.Progress = cmp.Or(t.Progress, defaultProgress)
	t.Probe = cmp.Or(t.Probe, defaultProbe)
	t.Queue = cmp.Or(t.Queue, defaultQueue)
	t.Resolve = cmp.Or(t.Resolve, defaultResolve)
	return t
}

// dispatcher returns the routing state of a service.
func (e *Engine) dispatcher(service string) *dispatcher {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.services[service]
	if d == nil {
		d = &dispatcher{
			service: service,
			picker:  route.Picker{DataCentre: e.DataCentre, Policy: e.Policy},
			queue:   route.Queue{Len: e.QueueLen},
			retry:   e.Retry,
			rnd:     rand.New(rand.NewPCG(e.seed(), 0)),
		}
		e.services[service] = d
	}
	return d
}

// seed returns the seed of a dispatcher's source of randomness.
func (e *Engine) seed() uint64 {
	if e.Seed != 0 {
		return e.Seed
	}
	return rand.Uint64()
}

// enter counts a request of an organisation, unless that is at its limit.
func (e *Engine) enter(a Account) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.MaxConcurrent > 0 && e.inProgress[a.Organisation] >= a.MaxConcurrent {
		return &refuse.Refusal{
			Code:       refuse.CodeBusy,
			Outcome:    refuse.NotRun,
			RetryAfter: concurrentRetryAfter,
			Message:    fmt.Sprintf("organisation %q has %d requests in progress, its limit", a.Organisation, a.MaxConcurrent),
		}
	}
	e.inProgress[a.Organisation]++
	return nil
}

// exit ends what enter counted.
func (e *Engine) exit(a Account) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inProgress[a.Organisation]--; e.inProgress[a.Organisation] <= 0 {
		delete(e.inProgress, a.Organisation)
	}
}

// Drain blocks until all tickets are settled or the context ends.
func (e *Engine) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.settling.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// holders returns the distinct holders of a ticket's charges.
func holders(t Ticket) []ident.Incarnation {
	var list []ident.Incarnation
	seen := make(map[ident.Incarnation]bool)
	for _, c := range t.Charges {
		if !seen[c.Holder] {
			seen[c.Holder] = true
			list = append(list, c.Holder)
		}
	}
	return list
}
