package alloc_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// network connects the instances of a test.
type network struct {
	mu sync.Mutex
	// services holds the running instances by address.
	services map[string]*alloc.Service
	// rnd decides which answers are lost. lost is the share of lost answers.
	rnd  *rand.Rand
	lost float64
	// asked counts the transfer requests.
	asked int
}

var errLost = errors.New("answer is lost")

func (n *network) set(addr string, s *alloc.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.services == nil {
		n.services = make(map[string]*alloc.Service)
	}
	n.services[addr] = s
}

// dial returns a client of the instance that runs at the address at the time of a call.
func (n *network) dial(addr string) wire.PeerClient { return &peerClient{network: n, addr: addr} }

type peerClient struct {
	wire.PeerClient
	network *network
	addr    string
}

func (c *peerClient) Transfer(ctx context.Context, req *wire.TransferRequest, _ ...grpc.CallOption) (*wire.TransferReply, error) {
	n := c.network
	n.mu.Lock()
	s := n.services[c.addr]
	lost := n.rnd != nil && n.rnd.Float64() < n.lost
	n.asked++
	n.mu.Unlock()
	time.Sleep(time.Millisecond)
	if s == nil {
		return nil, errLost
	}
	reply, err := s.Transfer(ctx, req)
	if lost {
		return nil, errLost
	}
	return reply, err
}

// startPeer starts an instance that other instances can ask for tokens.
func startPeer(ctx context.Context, store *keyd.Store, n *network, name string, totals ...alloc.Total) *alloc.Service {
	s := alloc.New(alloc.Options{
		Store: store, Topic: "b", Pledges: "p", PledgePartitions: 4, Instance: name, Machine: "m-" + name,
		Policy: alloc.Policy, Clock: machineClock, PeerAddr: name, Dial: n.dial,
	})
	n.set(name, s)
	go s.Run(ctx)
	s.SetTotals(1, totals)
	time.Sleep(time.Second)
	return s
}

// TestPeersDuringStoreOutage guards against refusals while peers hold tokens. The store
// becomes unreachable, and the callers of an organisation move to an instance that
// holds hardly any of its tokens. The leases of the other instances have to serve these
// callers. A second run in which the peers are unreachable too must serve hardly any
// request.
func TestPeersDuringStoreOutage(t *testing.T) {
	for _, reach := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store, n := &keyd.Store{}, &network{}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			total := alloc.Total{Budget: "o", Tokens: 3_000_000}
			var fleet []*alloc.Service
			for i := range 4 {
				fleet = append(fleet, startPeer(ctx, store, n, fmt.Sprintf("i%d", i), total))
			}
			serve := func(s *alloc.Service) bool {
				reservation, err := s.Reserve(t.Context(), "o", 5000)
				if err == nil {
					s.Settle(reservation, 4000)
				}
				return err == nil
			}
			for i := range 400 { // Ten seconds of demand at the others.
				if !serve(fleet[1+i%3]) {
					t.Fatal("request refused while the store is reachable, want it served")
				}
				time.Sleep(25 * time.Millisecond)
			}
			store.Switches.Set(keyd.Switches{Down: true})
			if !reach {
				for i := range 4 {
					n.set(fmt.Sprintf("i%d", i), nil)
				}
			}
			served := 0
			for range 80 { // Four seconds.
				if serve(fleet[0]) {
					served++
				}
				time.Sleep(50 * time.Millisecond)
			}
			if reach && served < 78 {
				t.Errorf("%d of 80 requests served from the peers' leases, want at least 78", served)
			}
			if !reach && served > 10 {
				t.Errorf("%d of 80 requests served while store and peers are unreachable, want at most 10", served)
			}
			cancel()
		})
	}
}

// TestPeerRequestsAreLimited guards against a flood of requests to peers: if no
// instance has enough tokens of a budget, the number of peers asked must not grow with
// the number of requests.
func TestPeerRequestsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, n := &keyd.Store{}, &network{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		total := alloc.Total{Budget: "o", Tokens: 40_000}
		var fleet []*alloc.Service
		for i := range 8 {
			fleet = append(fleet, startPeer(ctx, store, n, fmt.Sprintf("i%d", i), total))
		}
		for used := 0; used < 7; { // Fewer than 6,000 tokens are left.
			for _, s := range fleet {
				if reservation, err := s.Reserve(t.Context(), "o", 5000); err == nil {
					s.Settle(reservation, 5000)
					used++
				}
			}
			time.Sleep(time.Second)
		}
		n.mu.Lock()
		n.asked = 0
		n.mu.Unlock()
		start := time.Now()
		for range 500 {
			_, err := fleet[0].Reserve(t.Context(), "o", 6000)
			if _, ok := refuse.As(err); !ok {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		// At most six peers are asked every 0.4 s.
		if most := 6 * (1 + int(time.Since(start)/(400*time.Millisecond))); n.asked > most {
			t.Errorf("%d transfer requests for 500 refused reservations, want at most %d", n.asked, most)
		}
		cancel()
	})
}

// TestTransferIsSpentOnce guards against tokens that are spent twice after a transfer.
// The tokens count as used at the giver, so the successor of the giver must not use
// them again, whether or not the taker uses them.
func TestTransferIsSpentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, n := &keyd.Store{}, &network{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		total := alloc.Total{Budget: "o", Tokens: 100_000}
		first, stop := context.WithCancel(t.Context())
		giver := startPeer(first, store, n, "giver", total)
		taker := startPeer(ctx, store, n, "taker", total)
		if reservation, err := giver.Reserve(t.Context(), "o", 90_000); err != nil {
			t.Fatal(err)
		} else {
			time.Sleep(4 * time.Second)
			store.Switches.Set(keyd.Switches{Down: true})
			giver.Settle(reservation, 0)
		}
		taken, err := taker.Reserve(t.Context(), "o", 60_000)
		if err != nil {
			t.Fatal(err)
		}
		stop()
		store.Switches.Set(keyd.Switches{})
		successor := startPeer(ctx, store, n, "giver", total)
		time.Sleep(3 * time.Second)
		var sum ledger.Tokens
		for _, s := range []*alloc.Service{successor, taker} {
			for {
				reservation, err := s.Reserve(t.Context(), "o", 1000)
				if err != nil {
					break
				}
				s.Settle(reservation, 1000)
				sum += 1000
			}
		}
		taker.Settle(taken, 60_000)
		if sum > 40_000 {
			t.Errorf("%d tokens spent in addition to the 60,000 transferred, want at most 40,000, because 100,000 were paid", sum)
		}
		cancel()
	})
}
