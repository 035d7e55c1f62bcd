package duplex_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/duplex"
)

// tcpPair returns both ends of a connection: the near one as a *duplex.Conn.
func tcpPair(t *testing.T) (near *duplex.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	nc, err := duplex.Dialer(&net.Dialer{})(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = nc.Close()
		_ = c.Close()
	})
	return nc.(*duplex.Conn), c.(*net.TCPConn)
}

// uploadSize is more than the buffers of both ends hold, in bytes.
const uploadSize = 6 << 20

// TestResetDuringWrite guards against a reset that looks like a close in order to the reader,
// because the write took the error.
func TestResetDuringWrite(t *testing.T) {
	for range 50 {
		near, far := tcpPair(t)
		go func() { _, _ = near.Write(make([]byte, uploadSize)) }()
		_, _ = io.WriteString(far, "part")
		time.Sleep(time.Millisecond)
		_ = far.SetLinger(0)
		_ = far.Close()
		if got, err := io.ReadAll(near); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read %q, error %v; want %v", got, err, syscall.ECONNRESET)
		}
	}
}

// TestCloseInOrderDuringWrite guards against an end in order that is taken for an error, and
// against one that is held back because the peer reads no further.
func TestCloseInOrderDuringWrite(t *testing.T) {
	near, far := tcpPair(t)
	written := make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, uploadSize))
		written <- err
	}()
	_, _ = io.WriteString(far, "whole")
	time.Sleep(time.Millisecond)
	_ = far.CloseWrite()
	if got, err := io.ReadAll(near); string(got) != "whole" || err != nil {
		t.Errorf("read %q, error %v; want the whole text", got, err)
	}
	if err := <-written; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write returned %v, want %v", err, os.ErrDeadlineExceeded)
	}
	_ = far.SetLinger(0)
	_ = far.Close()
	for range 2 {
		if _, err := near.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("read after the end returned %v, want %v", err, io.EOF)
		}
	}
}

// scriptedConn returns the errors of reads in order, and io.EOF after them.
type scriptedConn struct {
	net.Conn
	reads []error
	write error
}

func (c *scriptedConn) Read([]byte) (int, error) {
	if len(c.reads) == 0 {
		return 0, io.EOF
	}
	err := c.reads[0]
	c.reads = c.reads[1:]
	return 0, err
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	if c.write != nil {
		return 0, c.write
	}
	return len(p), nil
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// TestErrorIsKept guards against an error of the connection that is forgotten once a call has
// returned it, and against a deadline that is kept as if it were one.
func TestErrorIsKept(t *testing.T) {
	for name, test := range map[string]struct {
		conn scriptedConn
		want error
	}{
		"a read took it":         {conn: scriptedConn{reads: []error{syscall.ETIMEDOUT}}, want: syscall.ETIMEDOUT},
		"a write took it":        {conn: scriptedConn{write: syscall.ECONNRESET}, want: syscall.ECONNRESET},
		"the first one is kept":  {conn: scriptedConn{write: syscall.ECONNRESET, reads: []error{syscall.ETIMEDOUT}}, want: syscall.ECONNRESET},
		"a deadline of a read":   {conn: scriptedConn{reads: []error{os.ErrDeadlineExceeded}}, want: io.EOF},
		"a deadline of a write":  {conn: scriptedConn{write: os.ErrDeadlineExceeded}, want: io.EOF},
		"a connection in order":  {want: io.EOF},
		"a write after its peer": {conn: scriptedConn{reads: []error{io.EOF}, write: syscall.EPIPE}, want: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			reads := len(test.conn.reads)
			c := &duplex.Conn{Conn: &test.conn}
			if reads > 0 && errors.Is(test.conn.reads[0], io.EOF) {
				_, _ = c.Read(nil)
				reads--
			}
			_, _ = c.Write([]byte("x"))
			for range reads {
				_, _ = c.Read(nil)
			}
			for range 2 {
				if _, err := c.Read(nil); !errors.Is(err, test.want) {
					t.Errorf("read returned %v, want %v", err, test.want)
				}
			}
		})
	}
}
