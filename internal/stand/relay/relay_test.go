package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// pipes is a listener of connections in memory.
type pipes struct {
	accept chan net.Conn
	closed chan struct{}
	// accepted counts the connections; read it when the listener is closed.
	accepted int
}

func newPipes() *pipes {
	return &pipes{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.accept <- far:
		return near, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Accept implements net.Listener.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accept:
		p.accepted++
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipes) Close() error { close(p.closed); return nil }

// Addr implements net.Listener.
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// echo answers each line with itself, on every connection.
func echo(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			lines := bufio.NewReader(conn)
			for {
				line, err := lines.ReadString('\n')
				if err != nil {
					return
				}
				_, _ = conn.Write([]byte(line))
			}
		}()
	}
}

// say sends a line and returns the time until the answer came whole.
func say(conn net.Conn, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	_ = conn.SetDeadline(start.Add(timeout))
	if _, err := conn.Write([]byte("brake block\n")); err != nil {
		return 0, err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && line != "brake block\n" {
		err = errors.New("another answer: " + line)
	}
	return time.Since(start), err
}

func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, back := newPipes(), newPipes()
		r := &Relay{Dial: back.dial}
		var wg sync.WaitGroup
		wg.Go(func() { echo(back) })
		wg.Go(func() { _ = r.Serve(front) })
		open := func() net.Conn {
			conn, err := front.dial(t.Context(), "", "")
			if err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			return conn
		}
		first := open()
		r.Switches.Set(Switches{DelayMS: 20})
		if d, err := say(first, time.Second); err != nil || d != 40*time.Millisecond {
			t.Errorf("delayed: %v, %v", d, err)
		}
		r.Switches.Set(Switches{Hold: true})
		time.AfterFunc(time.Hour, func() { r.Switches.Set(Switches{}) })
		if d, err := say(first, 2*time.Hour); err != nil || d != time.Hour {
			t.Errorf("held: %v, %v", d, err)
		}
		r.SilenceOpen()
		second := open()
		if _, err := say(first, time.Minute); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("silent connection: %v", err)
		}
		if _, err := say(second, time.Minute); err != nil {
			t.Errorf("new connection: %v", err)
		}
		r.Switches.Update(func(s *Switches) { s.Cut = true })
		synctest.Wait()
		if _, err := say(second, time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("cut connection: %v", err)
		}
		if _, err := say(open(), time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("new connection through the cut: %v", err)
		}
		if r.Opened() != 3 {
			t.Errorf("%d connections, want 3", r.Opened())
		}
		_ = front.Close()
		_ = back.Close()
		wg.Wait()
		if back.accepted != 2 {
			t.Errorf("target saw %d connections, want 2", back.accepted)
		}
	})
}
