package mesh

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
)

// BenchmarkConnectionMemory measures the memory of an idle connection after one message
// in each direction, including both ends and their goroutines.
func BenchmarkConnectionMemory(b *testing.B) {
	for _, peers := range []int{9, 50, 200, 410} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			for range b.N {
				before := memoryInUse()
				closeAll := connectPeers(b, peers)
				after := memoryInUse()
				b.ReportMetric(float64(after-before)/float64(peers), "B/connection")
				closeAll()
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// connectPeers opens a connection to each of the given number of peers, exchanges one
// message on it and returns a function that closes the connections.
func connectPeers(b *testing.B, peers int) func() {
	cfg := Config{Instance: "a", Secret: []byte("s")}
	server := NewServer(cfg)
	server.Handle("echo", func(ctx context.Context, s *Stream, message []byte) error {
		return s.Send(ctx, message)
	})
	pool := NewPool(cfg)
	listeners := make([]net.Listener, peers)
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[i] = l
		go func() { _ = server.Serve(l) }()
		s, err := pool.Open(context.Background(), l.Addr().String(), "echo", make([]byte, 200))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Recv(context.Background()); err != nil {
			b.Fatal(err)
		}
		s.Close()
	}
	return func() {
		pool.Close()
		for _, l := range listeners {
			_ = l.Close()
		}
	}
}
