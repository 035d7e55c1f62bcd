package procs

import (
	"io"
	"net"
	"os"
	"sync"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// relay is a TCP relay whose open connections can be made silent: they stay open but
// carry no more data, while new ones work.
type relay struct {
	listener net.Listener

	mu      sync.Mutex
	backend string
	conns   []*relayConn
}

// relayConn is one relayed connection.
type relayConn struct {
	mu     sync.Mutex
	silent bool
}

// newRelay starts a relay. Call connectTo before the first connection.
func (w *world) newRelay() *relay {
	w.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = l.Close() })
	r := &relay{listener: l}
	go r.serve()
	return r
}

// connectTo sets the address that the relay connects to.
func (r *relay) connectTo(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backend = addr
}

func (r *relay) dial() (net.Conn, error) {
	r.mu.Lock()
	addr := r.backend
	r.mu.Unlock()
	return net.Dial("tcp", addr)
}

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := r.dial()
		if err != nil {
			_ = in.Close()
			continue
		}
		v := new(relayConn)
		r.mu.Lock()
		r.conns = append(r.conns, v)
		r.mu.Unlock()
		go v.copy(out, in)
		go v.copy(in, out)
	}
}

// copy copies bytes until the connection ends. Once the connection is silent, it
// discards them.
func (v *relayConn) copy(to, from net.Conn) {
	defer func() { _ = from.Close() }()
	_, _ = io.Copy(writerFunc(func(p []byte) (int, error) {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.silent {
			return len(p), nil
		}
		return to.Write(p)
	}), from)
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.silent {
		_ = to.Close()
	}
}

// silence makes the open connections silent permanently.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.conns {
		v.mu.Lock()
		v.silent = true
		v.mu.Unlock()
	}
}

type writerFunc func(p []byte) (int, error)

// Write calls the function.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// catalogue returns the catalogue according to the log.
func (w *world) catalogue() *catal.State {
	w.t.Helper()
	state := new(catal.State)
	w.foldStream(ledger.CatalogueStream, state)
	return state
}

func writeFile(t testing.TB, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}
