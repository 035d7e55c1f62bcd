// Package relay is a stand-in for the network between two processes, for tests. It
// forwards TCP connections and has switches for the failures of a network.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

// bufferBytes is the size of the buffer of each direction, in bytes.
const bufferBytes = 32 << 10

// Switches select the simulated network failures. The zero value selects none.
type Switches struct {
	// Cut closes all open connections, and each new one at once.
	Cut bool `json:"cut"`
	// Hold delays all data until it is switched off, as TCP does during a network
	// partition.
	Hold bool `json:"hold"`
	// SilenceBefore makes the connections with a lower number silent permanently: they
	// stay open but carry no data. Later ones work. The first connection has number
	// 1, and Opened returns the number of the last one.
	SilenceBefore int `json:"silence-before"`
	// DelayMS is the delay of each forwarded read in each direction, in milliseconds.
	DelayMS int `json:"delay-ms"`
}

// Relay forwards connections. Set Target before use. It is safe for concurrent use.
type Relay struct {
	// Target is the host and port to forward connections to.
	Target string
	// Dial connects to the target; nil stands for a TCP dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Switches may be changed at any time.
	Switches toggle.Box[Switches]

	mu     sync.Mutex
	opened int
}

// Opened returns the number of connections accepted so far.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// BlackholeOpen makes all open connections silent permanently.
func (r *Relay) BlackholeOpen() {
	r.Switches.Update(func(s *Switches) { s.SilenceBefore = r.Opened() + 1 })
}

// Handler serves the switches and the number of connections.
func (r *Relay) Handler() http.Handler {
	m := mux.NewRouter()
	r.Switches.Register(m)
	m.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		toggle.WriteJSON(w, http.StatusOK, struct {
			Opened int `json:"opened"`
		}{r.Opened()})
	}).Methods(http.MethodGet)
	return m
}

// Serve accepts connections until the listener is closed. Then it closes the open ones
// and returns nil.
func (r *Relay) Serve(listener net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	var links sync.WaitGroup
	defer links.Wait()
	defer cancel()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		links.Go(func() { r.forward(ctx, conn, r.nextNumber()) })
	}
}

// nextNumber counts a new connection and returns its number.
func (r *Relay) nextNumber() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened++
	return r.opened
}

// forward forwards one connection until either end closes it.
func (r *Relay) forward(ctx context.Context, caller net.Conn, number int) {
	defer func() { _ = caller.Close() }()
	if r.Switches.Get().Cut {
		return
	}
	dial := r.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	target, err := dial(ctx, "tcp", r.Target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(ctx, cancel, number, target, caller) })
	directions.Go(func() { r.copy(ctx, cancel, number, caller, target) })
	r.watchCut(ctx, cancel)
	_ = caller.Close()
	_ = target.Close()
	directions.Wait()
}

// watchCut cancels the connection when the network is cut. It returns when the
// connection ends.
func (r *Relay) watchCut(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		changed := r.Switches.Changed()
		if r.Switches.Get().Cut {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// copy copies the data of one direction. When the direction ends, copy ends the
// whole connection. If the connection is silent, copy leaves it open, and neither
// end is notified.
func (r *Relay) copy(ctx context.Context, cancel context.CancelFunc, number int, to io.Writer, from io.Reader) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if !r.ready(ctx, number) {
			discard(ctx, from)
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			cancel()
			return
		}
	}
}

// ready waits until data may be forwarded. It returns false if the connection is silent
// or has ended.
func (r *Relay) ready(ctx context.Context, number int) bool {
	delayed := false
	for ctx.Err() == nil {
		changed := r.Switches.Changed()
		sw := r.Switches.Get()
		switch {
		case number < sw.SilenceBefore:
			return false
		case sw.Hold:
			select {
			case <-changed:
			case <-ctx.Done():
			}
		case sw.DelayMS > 0 && !delayed:
			delayed = true
			pause.For(ctx, time.Duration(sw.DelayMS)*time.Millisecond)
		default:
			return true
		}
	}
	return false
}

// discard discards the data that a silent connection still receives, and returns when
// the connection or the relay ends.
func discard(ctx context.Context, from io.Reader) {
	_, _ = io.Copy(io.Discard, from)
	<-ctx.Done()
}
