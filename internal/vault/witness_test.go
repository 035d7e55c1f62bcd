package vault_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/internal/vault"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// bench is three instances, of which the first has the callers of an organisation.
type bench struct {
	t       *testing.T
	store   *keyd.Store
	network network
	total   vault.Total
	used    ledger.Tokens
	// power moves the first machine's clock: it lost power.
	power time.Duration
}

// start starts an instance; the returned function ends it without a word.
func (b *bench) start(name string) (*vault.Service, func()) {
	ctx, cancel := context.WithCancel(b.t.Context())
	power := time.Duration(0)
	if name == "a" {
		power = b.power
	}
	s := vault.New(vault.Options{
		Store: b.store, Topic: "b", Pledges: "p", Instance: name, Machine: "m-" + name, Policy: vault.Policy,
		Clock: func() time.Duration { return machineClock() - power }, Peer: name, Dial: b.network.dial,
	})
	b.network.set(name, s)
	go s.Run(ctx)
	s.SetTotals(1, []vault.Total{b.total})
	time.Sleep(time.Second)
	return s, func() {
		cancel()
		b.network.set(name, nil)
	}
}

// serve asks for 20,000 tokens a second for a time, and returns the requests refused.
func (b *bench) serve(s *vault.Service, d time.Duration) (refused int) {
	const each = 1000
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ticket, err := s.Reserve(b.t.Context(), "o", each)
		if err != nil {
			refused++
			continue
		}
		s.Settle(ticket, each)
		b.used += each
	}
	return refused
}

// TestWitness replays a machine that loses power, or a process that is killed in a cut
// from the store: what a witness knows of it is lost no more. Without one, nine seconds
// of the demand are.
func TestWitness(t *testing.T) {
	for _, c := range []struct {
		name    string
		power   time.Duration
		cut     bool
		witness bool
		// lost is the most that may be lost, in seconds of the demand, and kept the least
		// where nothing is known.
		lost, least float64
	}{
		{name: "power", power: time.Hour, witness: true, lost: 1.5},
		{name: "power in a cut", power: time.Hour, cut: true, witness: true, lost: 3.5},
		{name: "kill in a cut", cut: true, witness: true, lost: 3.5},
		{name: "power, witness gone", power: time.Hour, lost: 12, least: 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &bench{t: t, store: &keyd.Store{}, total: vault.Total{Budget: "o", Tokens: 10_000_000}}
				a, endA := b.start("a")
				_, endB := b.start("b")
				defer endB()
				_, endC := b.start("c")
				defer endC()
				if n := b.serve(a, 20*time.Second); n > 0 {
					t.Errorf("%d requests refused in calm", n)
				}
				if c.cut {
					b.store.Switches.Set(keyd.Switches{Down: true})
					if n := b.serve(a, 2*time.Second); n > 0 {
						t.Errorf("%d requests refused in the cut", n)
					}
				}
				endA()
				if !c.witness {
					b.network.set("b", nil)
					b.network.set("c", nil)
				}
				b.power = c.power
				time.Sleep(2 * time.Second)
				b.store.Switches.Set(keyd.Switches{})
				a, endA = b.start("a")
				defer endA()
				time.Sleep(2 * time.Second)
				used := b.used
				b.serve(a, 10*time.Minute) // Until nothing is left here.
				gone := b.total.Tokens - b.used
				if most := ledger.Tokens(c.lost * 20_000); gone > most || b.used > b.total.Tokens {
					t.Errorf("%d of %d tokens cannot be used, at most %d may be lost; %d were used before", gone, b.total.Tokens, most, used)
				}
				if least := ledger.Tokens(c.least * 20_000); gone < least {
					t.Errorf("%d tokens lost though nobody knew what was used of %d", gone, least)
				}
			})
		})
	}
}

// TestWitnessLost: an instance whose witness ends goes on with the store's leave, and in
// an outage of the store once its promises are over.
func TestWitnessLost(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := &bench{t: t, store: &keyd.Store{}, total: vault.Total{Budget: "o", Tokens: 10_000_000}}
			a, endA := b.start("a")
			defer endA()
			_, endB := b.start("b")
			b.serve(a, 10*time.Second)
			b.store.Switches.Set(keyd.Switches{Down: down})
			endB()
			refused := b.serve(a, 9*time.Second)
			if !down && refused > 0 {
				t.Errorf("%d of 180 requests refused with the store there", refused)
			}
			// The promises bind for five seconds and cover one of them.
			held := int((vault.Policy.WitnessHold-vault.Policy.WitnessAhead)/(50*time.Millisecond)) + 4
			if down && refused > held {
				t.Errorf("%d of 180 requests refused in the outage, at most %d while promises bind", refused, held)
			}
		})
	}
}
