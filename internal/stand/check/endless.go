package check

import (
	"net"
	"strings"
	"testing"
)

const (
	// endlessBlock is the size of a write of an endless head, in bytes.
	endlessBlock = 4 << 10
	// maxEndless is the number of bytes after which EndlessHead gives up.
	maxEndless = 64 << 20
)

// EndlessHead listens on loopback and answers each connection with a head without end. It returns
// the address, and a function that waits for the end of the first connection and returns the
// number of bytes that its client has taken, with those in the sockets' buffers.
func EndlessHead(t testing.TB) (address string, taken func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	first := make(chan int, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				n := writeEndlessHead(c)
				select {
				case first <- n:
				default: // Another connection was the first.
				}
			}()
		}
	}()
	return l.Addr().String(), func() int { return <-first }
}

func writeEndlessHead(c net.Conn) (n int) {
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(endlessBlock) // The buffer may stay larger.
	const field = "A: b\r\n"
	block := []byte(strings.Repeat(field, endlessBlock/len(field)))
	m, err := c.Write([]byte("HTTP/1.1 200 OK\r\n"))
	for n += m; err == nil && n < maxEndless; n += m {
		m, err = c.Write(block)
	}
	return n
}
