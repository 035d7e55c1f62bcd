package relay

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/memnet"
)

// echo accepts connections and answers each line with the same line.
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

// roundTrip sends a line and returns the time until its echo is complete.
func roundTrip(conn net.Conn, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	_ = conn.SetDeadline(start.Add(timeout))
	if _, err := conn.Write([]byte("brake block\n")); err != nil {
		return 0, err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && line != "brake block\n" {
		err = errors.New("got another line back: " + line)
	}
	return time.Since(start), err
}

// TestRelay guards against switches with the wrong effect on open and on new connections:
// delay, hold, silence and cut.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, back := memnet.New(), memnet.New()
		r := &Relay{Dial: back.Dial}
		var wg sync.WaitGroup
		wg.Go(func() { echo(back) })
		wg.Go(func() { _ = r.Serve(front) })
		open := func() net.Conn {
			conn, err := front.Dial(t.Context(), "", "")
			if err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			return conn
		}
		first := open()
		r.Switches.Set(Switches{DelayMS: 20})
		if d, err := roundTrip(first, time.Second); err != nil || d != 40*time.Millisecond {
			t.Errorf("delayed: got %v, error %v; want 40 ms", d, err)
		}
		r.Switches.Set(Switches{Hold: true})
		time.AfterFunc(time.Hour, func() { r.Switches.Set(Switches{}) })
		if d, err := roundTrip(first, 2*time.Hour); err != nil || d != time.Hour {
			t.Errorf("held: got %v, error %v; want 1 h", d, err)
		}
		r.BlackholeOpen()
		second := open()
		if _, err := roundTrip(first, time.Minute); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("silent connection: got error %v, want a timeout", err)
		}
		if _, err := roundTrip(second, time.Minute); err != nil {
			t.Errorf("new connection: got error %v, want none", err)
		}
		r.Switches.Update(func(s *Switches) { s.Cut = true })
		synctest.Wait()
		if _, err := roundTrip(second, time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("cut connection: got error %v, want one other than a timeout", err)
		}
		if _, err := roundTrip(open(), time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("new connection while cut: got error %v, want one other than a timeout", err)
		}
		if r.Opened() != 3 {
			t.Errorf("got %d connections, want 3", r.Opened())
		}
		_ = front.Close()
		_ = back.Close()
		wg.Wait()
		if back.Accepted() != 2 {
			t.Errorf("got %d connections at the target, want 2", back.Accepted())
		}
	})
}
