package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// zoneMachines is the number of machines in the zone, as in kowhai-spares-grown.
	zoneMachines = 8
	// rollTime is how long machines are stopped in turn, one each rollGap.
	rollTime = 85 * time.Second
	rollGap  = time.Second
	// zoneClients is the number of clients in the zone. Each sends a request about every
	// thinkTime, on a connection that it opened after the one before.
	zoneClients = 60
	thinkTime   = 3 * time.Second
	// maxThink is below four fifths of the idle timeout.
	maxThink = 10 * time.Second
	// probeInterval is the time between two questions of the platform for readiness.
	probeInterval = time.Second
)

// balancer is a stand-in of the platform's entry address of a zone.
type balancer struct {
	edges []*edge

	mu     sync.Mutex
	misses map[*edge]int
}

// probe asks each machine each second whether it is ready, until the channel closes.
func (b *balancer) probe(stop <-chan struct{}) {
	for {
		for _, e := range b.edges {
			go func() {
				ready := e.isReady()
				b.mu.Lock()
				defer b.mu.Unlock()
				if ready {
					b.misses[e] = 0
				} else {
					b.misses[e]++
				}
			}()
		}
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

// choose returns the machine for a new connection: one in the rotation or, if fewer than half
// of the machines are in it, any.
func (b *balancer) choose() *edge {
	b.mu.Lock()
	defer b.mu.Unlock()
	in := slices.DeleteFunc(slices.Clone(b.edges), func(e *edge) bool { return b.misses[e] >= 2 })
	if 2*len(in) < len(b.edges) {
		in = b.edges
	}
	return in[rand.IntN(len(in))]
}

// stopTimes records when machines got SIGTERM.
type stopTimes struct {
	mu sync.Mutex
	at map[*edge]time.Time
}

func (s *stopTimes) set(e *edge, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[e] = at
}

// since returns the time since the machine got SIGTERM, or 0 if it did not get one since its
// start.
func (s *stopTimes) since(e *edge) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at[e].IsZero() {
		return 0
	}
	return time.Since(s.at[e])
}

// playStop stops the machines of a zone in turn with SIGTERM and starts them again, under a
// light load.
func playStop(w *world) error {
	ran := make(map[string]bool)
	var mu sync.Mutex
	for i, zone := range []string{"chc-a", "chc-b", "dud-a"} {
		p, err := w.addReplica(fmt.Sprintf("i-%d", i+1), "stores", zone, "v1")
		if err != nil {
			return err
		}
		p.setRan(func(id string) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = true
		})
	}
	for i := range zoneMachines {
		if _, err := w.addEdge(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), "chc-a"); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	b := &balancer{edges: w.edges, misses: make(map[*edge]int)}
	stops := &stopTimes{at: make(map[*edge]time.Time)}
	stop := make(chan struct{})
	go b.probe(stop)
	var rolling, asking sync.WaitGroup
	if w.trouble {
		rolling.Go(func() { roll(w.edges, stops, &rolling) })
	}
	lost, asked, answered := 0, 0, 0
	end := time.Now().Add(rollTime)
	for range zoneClients {
		asking.Go(func() {
			for time.Now().Before(end) {
				// The client opens its next connection ahead.
				e := b.choose()
				conn, err := net.Dial("tcp", e.frontend)
				time.Sleep(min(maxThink, time.Duration(rand.ExpFloat64()*float64(thinkTime))))
				if err != nil {
					continue // The machine is down.
				}
				id, status := reserve(w.recorder, conn)
				_ = conn.Close() // The answer was read, or there is none.
				mu.Lock()
				asked++
				if status != 0 {
					answered++
				} else if ran[id] {
					lost++
					w.linef("LOST: %s was run and got no answer from %s, %.3f s after its SIGTERM", id, e.name, stops.since(e).Seconds())
				}
				mu.Unlock()
			}
		})
	}
	asking.Wait()
	rolling.Wait()
	close(stop)
	w.linef("%d requests sent, %d answered, %d run and not answered", asked, answered, lost)
	if answered == 0 {
		return fmt.Errorf("no request was answered")
	}
	if lost > 0 {
		return fmt.Errorf("%w: %d requests were run and got no answer during planned stops", errBroken, lost)
	}
	return nil
}

// roll stops the machines in turn, one each rollGap, and starts each again when it has ended.
func roll(edges []*edge, stops *stopTimes, restarts *sync.WaitGroup) {
	busy := make([]chan struct{}, len(edges))
	for n := range int(rollTime / rollGap) {
		time.Sleep(rollGap)
		i := n % len(edges)
		if busy[i] != nil {
			select {
			case <-busy[i]:
			default:
				continue // It is still stopping.
			}
		}
		busy[i] = make(chan struct{})
		e, done := edges[i], busy[i]
		stops.set(e, time.Now())
		e.signal(syscall.SIGTERM)
		restarts.Go(func() {
			<-e.done
			stops.set(e, time.Time{})
			_ = e.start() // It shows in the record.
			close(done)
		})
	}
}
