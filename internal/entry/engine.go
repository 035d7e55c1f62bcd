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

// concurrentRetryAfter is the Retry-After of an organisation that has reached its
// limit of requests in progress.
const concurrentRetryAfter = time.Second

// Timeouts limits the waits of a request. A zero field means the default.
type Timeouts struct {
	// FirstEvent is the time within which the side process must confirm the
	// start.
	FirstEvent time.Duration
	// Claim replaces FirstEvent for work that must run at most once: the side
	// process claims such work on the log before it confirms the start.
	Claim time.Duration
	// Progress is the time allowed between two events of a run.
	Progress time.Duration
	// Probe limits one query to a side process.
	Probe time.Duration
	// Queue limits a request's wait for a target.
	Queue time.Duration
	// Resolve limits the queries about an attempt after its request has ended.
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

// Engine serves requests. Set the exported fields before use; those marked
// optional may be left zero.
type Engine struct {
	// DataCentre is the data centre of this instance.
	DataCentre string
	Catalogue  Catalogue
	Budgets    Budgets
	Targets    Targets
	Dialer     Dialer
	// Orphans is optional.
	Orphans OrphanBiller
	// FleetOffset returns the offset of the fleet stream up to which this
	// instance has read. It is optional.
	FleetOffset func() uint64
	// Services names the services whose targets Watch queries before their
	// first request. It is optional.
	Services func() []string
	// LoggedRun reports whether the log shows that a request with this id ran or may have
	// run. call is set for a call of an application. LoggedRun is called before a keyed
	// request is refused. It is optional.
	LoggedRun func(id string, call bool) bool
	Timeouts  Timeouts
	Policy    route.Policy
	// Retry is the initial retry budget of each service. QueueLen is the limit of each
	// service's queue. Zero values mean the defaults.
	Retry    route.RetryBudget
	QueueLen int
	// Tracer is optional.
	Tracer trace.Tracer
	// Seed makes the choice of targets repeatable. If 0, the choice is random.
	Seed uint64
	// Counts are the engine's counters. They only increase.
	Counts Counts

	once     sync.Once
	mu       sync.Mutex
	services map[string]*dispatcher
	// inProgress counts the requests in progress of each organisation.
	inProgress map[string]int
	recent     recentIDs
	// settling counts the settlements running in the background.
	settling sync.WaitGroup
}

// init sets the defaults.
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

// withDefaults returns t with its zero fields set to the defaults.
func (t Timeouts) withDefaults() Timeouts {
	t.FirstEvent = cmp.Or(t.FirstEvent, defaultFirstEvent)
	t.Claim = cmp.Or(t.Claim, defaultClaim)
	t.Progress = cmp.Or(t.Progress, defaultProgress)
	t.Probe = cmp.Or(t.Probe, defaultProbe)
	t.Queue = cmp.Or(t.Queue, defaultQueue)
	t.Resolve = cmp.Or(t.Resolve, defaultResolve)
	return t
}

// dispatcher returns the dispatcher of a service, creating it if necessary.
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

// seed returns the seed for a dispatcher's random source.
func (e *Engine) seed() uint64 {
	if e.Seed != 0 {
		return e.Seed
	}
	return rand.Uint64()
}

// beginRequest counts a request of an organisation, or refuses it if the
// organisation is at its limit.
func (e *Engine) beginRequest(a Account) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.MaxConcurrent > 0 && e.inProgress[a.Organisation] >= a.MaxConcurrent {
		return &refuse.Refusal{
			Code:       refuse.CodeBusy,
			Outcome:    refuse.NotRun,
			RetryAfter: concurrentRetryAfter,
			Message:    fmt.Sprintf("organisation %q has reached its limit of %d requests in progress", a.Organisation, a.MaxConcurrent),
		}
	}
	e.inProgress[a.Organisation]++
	return nil
}

// endRequest undoes the count of beginRequest.
func (e *Engine) endRequest(a Account) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inProgress[a.Organisation]--; e.inProgress[a.Organisation] <= 0 {
		delete(e.inProgress, a.Organisation)
	}
}

// Drain waits until all reservations are settled or the context ends.
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

// holders returns the distinct holders of a reservation's charges.
func holders(t Reservation) []ident.Incarnation {
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
