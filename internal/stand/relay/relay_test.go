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
		if back.Accepted() != 2 {
			t.Errorf("target saw %d connections, want 2", back.Accepted())
		}
	})
}
