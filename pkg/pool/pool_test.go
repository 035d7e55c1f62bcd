package pool_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/pool"
)

// listen listens on a local address and sends each accepted connection to the
// channel.
func listen(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), conns
}

// waitIdle waits up to 1 s until TakeIdle returns a connection, or none, as wanted: the
// peer's close or data takes time to arrive.
func waitIdle(t *testing.T, p *pool.Pool, want bool) {
	t.Helper()
	for range 200 {
		c := p.TakeIdle(time.Now())
		if (c != nil) == want {
			return
		}
		if c != nil {
			p.Put(c)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("TakeIdle returned a connection: got %v for 1 s, want %v", !want, want)
}

func TestReuse(t *testing.T) {
	addr, conns := listen(t)
	p := &pool.Pool{Addr: addr}
	c, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	<-conns
	p.Put(c)
	again, err := p.Get(t.Context())
	if err != nil || again != c {
		t.Errorf("Get returned connection %p, error %v; want the idle connection %p", again, err, c)
	}
}

// TestStaleConnections checks that TakeIdle does not return a connection that the
// peer closed or sent unrequested bytes on: a request on it would fail, or read
// those bytes as its response.
func TestStaleConnections(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn) error{
		"closed":     func(c net.Conn) error { return c.Close() },
		"extra byte": func(c net.Conn) error { _, err := io.WriteString(c, "x"); return err },
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listen(t)
			p := &pool.Pool{Addr: addr}
			c, err := p.Get(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			p.Put(c)
			if err := disturb(<-conns); err != nil {
				t.Fatal(err)
			}
			waitIdle(t, p, false)
		})
	}
}

// TestIdleTimeout checks that a connection is not reused shortly before the peer's
// idle timeout: the peer could close it while a request is on its way.
func TestIdleTimeout(t *testing.T) {
	addr, _ := listen(t)
	p := &pool.Pool{Addr: addr}
	c, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	c.SetIdleTimeout(3 * time.Second)
	p.Put(c)
	if p.TakeIdle(time.Now().Add(2500*time.Millisecond)) != nil {
		t.Error("TakeIdle returned a connection 0.5 s before the peer's idle timeout of 3 s, want none within 1 s")
	}
}

// TestClosedPool checks that a connection in use while the pool is closed is closed
// when it is Put back, so that it does not leak.
func TestClosedPool(t *testing.T) {
	addr, conns := listen(t)
	p := &pool.Pool{Addr: addr}
	c, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	p.Close()
	p.Put(c)
	theirs := <-conns
	if err := theirs.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := theirs.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read from the connection that was Put after Close: error is %v, want EOF", err)
	}
}

func TestConnectFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := (&pool.Pool{Addr: addr}).Get(t.Context()); !errors.Is(err, pool.ErrConnect) {
		t.Errorf("Get from a closed port: error is %v, want ErrConnect", err)
	}
}

// TestRefusedRequest guards against a connection that carries a request again after the peer
// has refused it there, and against a memory of refusals that grows without bound.
func TestRefusedRequest(t *testing.T) {
	addr, conns := listen(t)
	p := &pool.Pool{Addr: addr}
	get := func(id string) *pool.Conn {
		t.Helper()
		c, err := p.GetFor(t.Context(), []byte(id))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	first := get("a")
	defer func() { _ = (<-conns).Close() }()
	first.NoteRefused([]byte("a"))
	p.Put(first)
	second := get("a")
	defer func() { _ = (<-conns).Close() }()
	if second == first {
		t.Error("the refused request got the same connection, want a new one")
	}
	p.Put(second)
	if got := get("a"); got != second {
		t.Error("the refused request did not get the other idle connection")
	}
	if got := get("b"); got != first {
		t.Error("another request did not get the idle connection")
	}
	for i := range 64 {
		first.NoteRefused([]byte{byte(i)})
	}
	p.Put(first)
	if p.TakeIdle(time.Now()) != nil {
		t.Error("a connection with many refused requests was kept, want it closed")
	}
}
