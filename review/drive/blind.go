package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// blindMachines is the number of machines, as on the small site.
	blindMachines = 4
	// blindTime is how long after the cut streams are taken up at the machine.
	blindTime = 1500 * time.Millisecond
	// returnTime is the time after which a client whose connection broke comes back.
	returnTime = 30 * time.Millisecond
)

// gate lets calls of one machine through to the store until it is shut. Then they get no answer.
type gate struct {
	store *store
	shut  atomic.Bool
}

// ServeHTTP passes a call on, or holds it.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.shut.Load() {
		g.store.ServeHTTP(w, r)
	}
	if g.shut.Load() {
		<-r.Context().Done()
	}
}

// playBlind cuts one of four machines off from the store at the moment at which a release
// begins. Streams that begin at the new version break, and are taken up at another machine.
func playBlind(w *world) error {
	for i, zone := range []string{"chc-a", "chc-b", "dud-a"} {
		if _, err := w.addReplica(fmt.Sprintf("i-old-%d", i+1), "assist", zone, "v1"); err != nil {
			return err
		}
	}
	g := &gate{store: w.store}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: g, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // It ends with the program.
	for i := range blindMachines {
		if i == blindMachines-1 {
			w.storeAddress = l.Addr().String()
		}
		if _, err := w.addEdge(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), "chc-a"); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	for range 65 {
		ask(w.recorder, w.edges[0].frontend, w.chat(0, 0))
		time.Sleep(500 * time.Millisecond)
	}
	if w.trouble {
		g.shut.Store(true)
		w.linef("machine %s: cut off from the store", w.edges[blindMachines-1].name)
	}
	w.linef("release: replicas of v2 start; those of v1 still serve")
	for i, zone := range []string{"chc-a", "chc-b", "dud-a"} {
		if _, err := w.addReplica(fmt.Sprintf("i-new-%d", i+1), "assist", zone, "v2"); err != nil {
			return err
		}
	}
	end := time.Now().Add(blindTime)
	var mu sync.Mutex
	var clients sync.WaitGroup
	taken, joined := make(map[bool]int), make(map[bool]int)
	for i, e := range w.edges[:blindMachines-1] {
		clients.Go(func() {
			for time.Now().Before(end) {
				first := ask(w.recorder, e.frontend, w.chat(0, brokenAfter))
				if first.status != 200 || len(first.events) == 0 || !strings.HasPrefix(first.events[0], "v2 ") {
					continue
				}
				q := w.chat(brokenAfter, 0)
				q.resumes = first.attempt
				time.Sleep(returnTime)
				// The platform forwards the new connection to another machine.
				other := (i + 1 + rand.IntN(blindMachines-1)) % blindMachines
				second := ask(w.recorder, w.edges[other].frontend, q)
				mu.Lock()
				if second.status == 200 && len(second.events) > 0 {
					blind := other == blindMachines-1
					taken[blind]++
					if !strings.HasPrefix(second.events[0], "v2 ") {
						joined[blind]++
						w.linef("JOINED: stream %s began at v2 at %s and goes on as %s at %s", first.attempt, e.name, second.events[0], w.edges[other].name)
					}
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	w.linef("joined from two versions: %d of %d streams taken up at the last machine, %d of %d at others", joined[true], taken[true], joined[false], taken[false])
	if n := joined[true] + joined[false]; n > 0 {
		return fmt.Errorf("%w: %d of %d streams were joined from two versions", errBroken, n, taken[true]+taken[false])
	}
	return nil
}
