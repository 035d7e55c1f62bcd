// Package opsvc implements the operators' queries and commands, independently of
// the command line. Queries fold the streams. Commands propose changes and wait
// until the changes are decided.
package opsvc

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// ErrNotFound reports that a name or id does not exist.
var ErrNotFound = errors.New("not found")

// ErrPlatform reports that a service of the platform or an instance did not
// answer.
var ErrPlatform = errors.New("service or instance did not answer")

// Lister reads the instance list.
type Lister interface {
	List(ctx context.Context) ([]insts.Instance, error)
}

// Service runs the operators' queries and commands. A method that needs Log or
// List returns ErrNoAddress if this field is nil. The methods that query entry
// instances require Peer. A Service is safe for concurrent use.
type Service struct {
	Log logsvc.Service
	// Operator is the name recorded with changes.
	Operator string
	// Shards is the number of budget streams; 0 means 1.
	Shards int
	// List is the instance list.
	List Lister
	// Peer connects to an entry instance. The function it returns closes the
	// connection.
	Peer func(addr string) (wire.PeerClient, func(), error)
	// NewID creates the ids of proposals; nil stands for ident.NewRequestID.
	NewID func() string
}

// Outcome is the outcome of a proposal.
type Outcome string

// The outcomes of a proposal.
const (
	// Accepted: the proposal is in force.
	Accepted Outcome = "accepted"
	// Conflict: the proposal was based on an older state, and had no effect.
	Conflict Outcome = "conflict"
	// Invalid: the proposal broke an invariant, and had no effect.
	Invalid Outcome = "invalid"
	// NotAppended: the log service refused the proposal. It had no effect and
	// will have none.
	NotAppended Outcome = "not-appended"
	// Unknown: the proposal may or may not take effect. Repeating the command
	// with the same id returns its outcome and does not apply it twice.
	Unknown Outcome = "unknown"
)

func (s *Service) newID() string {
	if s.NewID != nil {
		return s.NewID()
	}
	return ident.NewRequestID()
}

// catchUp folds a stream into the machine up to its current end.
func (s *Service) catchUp(ctx context.Context, stream string, m fold.StateMachine) (*fold.Follower, error) {
	if s.Log == nil {
		return nil, fmt.Errorf("log service: %w", ErrNoAddress)
	}
	f := &fold.Follower{Log: s.Log, Stream: stream, Reader: fold.Reader{Machine: m}}
	if err := f.CatchUp(ctx); err != nil {
		return nil, fmt.Errorf("stream %q: %w", stream, err)
	}
	return f, nil
}

// decide proposes an item. It blocks until decided reports that the folded state
// contains the item's outcome, or until the context ends. The item is sent again
// until the log service has confirmed it; the fold ignores the copies. decided
// runs under the follower's lock.
//
// It returns "" if the item was decided. Otherwise it returns NotAppended or
// Unknown.
func (s *Service) decide(ctx context.Context, f *fold.Follower, item fold.Item, decided func() bool) Outcome {
	tracker := &appendTracker{Service: s.Log}
	w := &fold.Writer{
		Log:    tracker,
		Stream: f.Stream,
		Name:   string(ident.NewIncarnation("beryl")),
		Folded: f.Folded,
	}
	running, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(running) })
	wg.Go(func() { w.Run(running) })
	w.Propose(item, nil)
	err := f.Wait(ctx, func(*fold.Reader) bool { return decided() })
	stop()
	wg.Wait()
	if err == nil {
		return ""
	}
	if tracker.mayHaveAppended() {
		return Unknown
	}
	return NotAppended
}

// appendTracker records whether any append may have taken effect.
type appendTracker struct {
	logsvc.Service

	mu       sync.Mutex
	appended bool
}

// Append forwards the record to the log service.
func (a *appendTracker) Append(ctx context.Context, stream string, data []byte) (logsvc.Offset, error) {
	at, err := a.Service.Append(ctx, stream, data)
	if !withoutEffect(err) {
		a.mu.Lock()
		a.appended = true
		a.mu.Unlock()
	}
	return at, err
}

func (a *appendTracker) mayHaveAppended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.appended
}

// withoutEffect reports whether the error means that nothing was appended.
func withoutEffect(err error) bool {
	return errors.Is(err, logsvc.ErrUnavailable) ||
		errors.Is(err, logsvc.ErrRateLimited) ||
		errors.Is(err, logsvc.ErrTooLarge)
}
