// Package testnet provides helpers for tests that use the loopback network.
package testnet

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

// RefusingAddr returns a TCP address, HOST:PORT, that refuses connections until the test
// ends. Its port is bound, so that no other process can listen on it, but has no
// listener.
func RefusingAddr(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := unix.Close(fd); err != nil {
			t.Log("closing the socket of the reserved port:", err)
		}
	})
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		t.Fatalf("socket is bound to %v, want an IPv4 address", name)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.Port)
}
