package alloc_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// cutStore is an instance's way to the store, which may be cut. If hold is set, the next write of
// an account waits for it, and the way is cut as soon as the account has been written.
type cutStore struct {
	*keyd.Store
	cut  atomic.Bool
	hold atomic.Pointer[chan struct{}]
}

func (c *cutStore) Newest(ctx context.Context, p keyed.Partition, after string) (keyed.Page, error) {
	if c.cut.Load() {
		return keyed.Page{}, keyed.ErrUnavailable
	}
	return c.Store.Newest(ctx, p, after)
}

func (c *cutStore) Read(ctx context.Context, p keyed.Partition, from keyed.Offset, wait time.Duration) (keyed.Page, error) {
	if c.cut.Load() {
		return keyed.Page{}, keyed.ErrUnavailable
	}
	return c.Store.Read(ctx, p, from, wait)
}

func (c *cutStore) Write(ctx context.Context, p keyed.Partition, w keyed.Writer, e keyed.Entry) error {
	if c.cut.Load() {
		return keyed.ErrUnavailable
	}
	hold := c.hold.Load()
	if p.Topic != "b" || hold == nil {
		return c.Store.Write(ctx, p, w, e)
	}
	<-*hold
	c.hold.Store(nil)
	err := c.Store.Write(ctx, p, w, e)
	c.cut.Store(true)
	return err
}

// TestGrantPendingWhenHistoryIsDropped guards against tokens that two instances use. A grant is
// pending when its writer is cut off, and the order leaves it nothing. Then others return what
// they hold, and the store drops its history, so that the writer can't read the order any more.
func TestGrantPendingWhenHistoryIsDropped(t *testing.T) {
	const paid = 100_000
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		cut := &cutStore{Store: store}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := func(name string, s keyed.Store) *alloc.Service {
			service := alloc.New(alloc.Options{Store: s, Topic: "b", Partitions: 1, Instance: name, Policy: alloc.Policy, MaxWait: 5 * time.Second})
			go service.Run(ctx)
			service.SetTotals(1, []alloc.Total{{Budget: "o", Tokens: paid}})
			time.Sleep(time.Second)
			return service
		}
		a, b, c := start("a", cut), start("b", store), start("c", store)
		var used atomic.Int64
		use := func(s *alloc.Service, tokens ledger.Tokens) {
			if r, err := s.Reserve(ctx, "o", tokens); err == nil {
				s.Settle(r, tokens)
				used.Add(tokens)
			}
		}
		// Both instances read before either writes. The order leaves nothing for a's grant.
		hold := make(chan struct{})
		cut.hold.Store(&hold)
		go use(a, 30_000)
		time.Sleep(100 * time.Millisecond)
		held, err := b.Reserve(ctx, "o", paid)
		if err != nil {
			t.Fatal(err)
		}
		close(hold)
		time.Sleep(100 * time.Millisecond)
		if !cut.cut.Load() {
			t.Fatal("a did not write an account")
		}
		b.Settle(held, 0)
		if err := b.Stop(ctx); err != nil {
			t.Fatal(err)
		}
		use(c, 1000) // It has read all of the order.
		store.Compact(keyed.Partition{Topic: "b"})
		// a reads again. What it writes next arrives after c has asked for the rest.
		late := make(chan struct{})
		cut.hold.Store(&late)
		cut.cut.Store(false)
		time.Sleep(500 * time.Millisecond)
		go use(a, 30_000)
		time.Sleep(100 * time.Millisecond)
		use(c, 80_000)
		close(late)
		time.Sleep(6 * time.Second)
		if got := used.Load(); got > paid {
			t.Errorf("%d tokens used, want at most the %d paid", got, paid)
		}
		if got := used.Load(); got < paid/2 {
			t.Errorf("%d tokens used, want at least half of the %d paid", got, paid)
		}
	})
}
