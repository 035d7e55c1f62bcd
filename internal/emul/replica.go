package emul

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/modeld"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/pause"
	"github.com/beryllanding/beryllanding/pkg/roster"
)

// crashPart is the part of a prompt that crashes targets; see Kind.Crashes.
const crashPart = "crash"

// replica is one target. It may crash and start again at its address, as another run.
type replica struct {
	f     *fleet
	index int
	addr  string

	mu sync.Mutex
	// runs holds the engines of all runs; the last one is the present one.
	runs   []*modeld.Engine
	server *http.Server
	// dark holds the servers of runs that went dark.
	dark []*http.Server
}

func (f *fleet) startTargets() error {
	for i := range f.s.Targets {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		r := &replica{f: f, index: i, addr: l.Addr().String()}
		f.targets = append(f.targets, r)
		if err := r.start(l); err != nil {
			return err
		}
	}
	return nil
}

// start begins a run on the listener, and writes its entry in the list of targets.
func (r *replica) start(l net.Listener) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.f.s
	e := &modeld.Engine{
		ID: fmt.Sprintf("target-%d", r.index), Dialect: dialect, Slots: s.Slots, Queue: s.Queue,
		PromptRate: s.PromptRate, Step: s.Step, EventTokens: s.EventTokens,
		Version: fmt.Sprintf("v%d", r.index%max(1, s.Versions)),
	}
	if n := len(r.runs); n > 0 {
		e.ID = fmt.Sprintf("target-%d-%d", r.index, n)
	}
	place, coldLeft := s.dataCentre(r.index), time.Duration(0)
	if len(r.runs) > 0 {
		coldLeft = s.ColdTime
	}
	warm := time.Now().Add(coldLeft)
	server := &http.Server{Handler: e, ErrorLog: r.f.logger.StandardLog()}
	e.CrashAfter = func(id string) (events int, crashes bool) {
		cause, events := r.f.cause(id)
		return events, cause != ""
	}
	e.Crash = func(id string) {
		cause, _ := r.f.cause(id)
		r.crash(server, cause)
	}
	e.Accepted = func(id string) { r.f.places.accepted(e.ID, place, warm, r.f.senders.of(id)) }
	e.Arrived = func(id string, limit float64) {
		from := r.f.senders.of(id)
		if cause, _ := r.f.cause(id); cause != "" {
			r.f.crashes.reached(cause, from)
		}
		r.f.limits.arrived(e.ID, from, limit)
	}
	go func() { _ = server.Serve(l) }() // Serve returns when the server is closed.
	r.runs, r.server = append(r.runs, e), server
	return r.f.put("targets", e.ID, roster.Target{ID: e.ID, Service: service, Address: r.addr, DataCentre: place, Version: e.Version, Born: int64(len(r.runs)), ColdLeft: coldLeft})
}

// crash ends the run of a server: its listener and all its connections are closed at once,
// or if Scenario.Dark is set, nothing more is sent on them. After Scenario.Restart the next
// run begins.
func (r *replica) crash(server *http.Server, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != server {
		return // The run has ended already.
	}
	r.server = nil
	last := r.runs[len(r.runs)-1]
	if r.f.s.Dark {
		last.Dark.Store(true)
		r.dark = append(r.dark, server)
	} else {
		_ = server.Close() // It only fails for connections that are closed already.
	}
	r.f.crashes.targetEnded(cause)
	r.f.logger.Info("target crashed", "target", last.ID, "cause", cause)
	r.f.wg.Go(func() {
		if !pause.For(r.f.ctx, r.f.s.Restart) {
			return
		}
		r.f.store.Put(keyed.Partition{Topic: "targets"}, keyed.Entry{Key: last.ID})
		if r.f.s.Dark {
			r.addr = "127.0.0.1:0"
		}
		l, err := net.Listen("tcp", r.addr)
		if err == nil {
			r.addr = l.Addr().String()
			err = r.start(l)
		}
		if err != nil {
			r.f.logger.Error("target did not start again", "target", last.ID, "err", err)
		}
	})
}

// engine returns the engine of the present or last run.
func (r *replica) engine() *modeld.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[len(r.runs)-1]
}

// engines returns the engines of all runs.
func (r *replica) engines() []*modeld.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

func (r *replica) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, server := range append(r.dark, r.server) {
		if server != nil {
			_ = server.Close() // No requests are in progress.
		}
	}
}
