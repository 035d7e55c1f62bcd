package logd

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// errCut is the error of the calls of a client that is cut off.
var errCut = fmt.Errorf("%w: the client is cut off", logsvc.ErrUnavailable)

// View is one client's connection to the log service, with its own failures. Set Store
// before use. It implements logsvc.Service.
type View struct {
	Store *Store

	mu  sync.Mutex
	cut bool
	// lose is the number of further appends whose answer is lost.
	lose int
	// severed is closed when the view is cut.
	severed chan struct{}
}

// View returns a connection to the store for a new client.
func (s *Store) View() *View { return &View{Store: s} }

// SetCut disconnects the client from the service, or connects it again. Reads in
// progress fail. An append in progress has an unknown outcome.
func (v *View) SetCut(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if cut && !v.cut && v.severed != nil {
		close(v.severed)
		v.severed = nil
	}
	v.cut = cut
}

// LoseNext causes the answers to the client's next n appends to be lost. The appends
// take effect.
func (v *View) LoseNext(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lose = n
}

// Append appends a record unless the client is cut off. See logsvc.Service.
func (v *View) Append(ctx context.Context, stream string, data []byte) (logsvc.Offset, error) {
	ctx, cancel, err := v.begin(ctx)
	if err != nil {
		return 0, err
	}
	defer cancel()
	at, err := v.Store.Append(ctx, stream, data)
	if err == nil && v.loses() {
		return 0, fmt.Errorf("%w: the answer was lost", logsvc.ErrOutcomeUnknown)
	}
	return at, err
}

// Read returns records unless the client is cut off. See logsvc.Service.
func (v *View) Read(ctx context.Context, stream string, from logsvc.Offset, limit int, wait time.Duration) (logsvc.Page, error) {
	ctx, cancel, err := v.begin(ctx)
	if err != nil {
		return logsvc.Page{}, err
	}
	defer cancel()
	page, err := v.Store.Read(ctx, stream, from, limit, wait)
	if errors.Is(context.Cause(ctx), errCut) {
		return logsvc.Page{}, errCut
	}
	return page, err
}

// begin returns a context that ends when the view is cut.
func (v *View) begin(parent context.Context) (context.Context, context.CancelFunc, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut {
		return nil, nil, errCut
	}
	if v.severed == nil {
		v.severed = make(chan struct{})
	}
	severed := v.severed
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		select {
		case <-severed:
			cancel(errCut)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }, nil
}

// loses reports whether the answer to the current append is lost, and counts it.
func (v *View) loses() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lose == 0 {
		return false
	}
	v.lose--
	return true
}
