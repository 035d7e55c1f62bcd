package check

import (
	"net"
	"testing"
)

// FreeAddresses sets addresses on loopback that are free and differ from each other: an address
// that was given back could be found twice.
func FreeAddresses(t testing.TB, addresses ...*string) {
	t.Helper()
	for _, address := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }() // Not before the others are found.
		*address = l.Addr().String()
	}
}
