package mesh

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func startServer(t *testing.T, cfg Config, handlers map[string]Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(cfg)
	for method, h := range handlers {
		server.Handle(method, h)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	return l.Addr().String()
}

func testPool(t *testing.T, cfg Config) *Pool {
	p := NewPool(cfg)
	t.Cleanup(p.Close)
	return p
}

var testConfig = Config{Instance: "a", Secret: []byte("test secret"), WindowBytes: 1024}

// countTo returns a handler that sends n messages, each the first message and a number.
func countTo(n int) Handler {
	return func(ctx context.Context, s *Stream, message []byte) error {
		for i := range n {
			if err := s.Send(ctx, fmt.Appendf(nil, "%s %d", message, i)); err != nil {
				return err
			}
		}
		return nil
	}
}

func TestStreamsDeliverInOrderToTheirOwnReader(t *testing.T) {
	is := is.New(t)
	const streams, messages = 20, 500
	addr := startServer(t, testConfig, map[string]Handler{"count": countTo(messages)})
	pool := testPool(t, testConfig)
	ctx := context.Background()
	var open []*Stream
	for i := range streams {
		s, err := pool.Open(ctx, addr, "count", fmt.Appendf(nil, "stream-%d", i))
		is.NoErr(err)
		open = append(open, s)
	}
	for i, s := range open {
		for j := range messages {
			got, err := s.Recv(ctx)
			is.NoErr(err)
			is.Equal(string(got), fmt.Sprintf("stream-%d %d", i, j))
		}
		_, err := s.Recv(ctx)
		is.Equal(err, io.EOF)
	}
}

func TestUnreadStreamBlocksOnlyItsSender(t *testing.T) {
	is := is.New(t)
	sent := make(chan int, 10_000)
	flood := func(ctx context.Context, s *Stream, _ []byte) error {
		for i := 0; ; i++ {
			if err := s.Send(ctx, make([]byte, 100)); err != nil {
				return err
			}
			sent <- i
		}
	}
	addr := startServer(t, testConfig, map[string]Handler{"flood": flood, "count": countTo(100)})
	pool := testPool(t, testConfig)
	ctx := context.Background()
	slow, err := pool.Open(ctx, addr, "flood", nil)
	is.NoErr(err)
	quick, err := pool.Open(ctx, addr, "count", []byte("x"))
	is.NoErr(err)
	for range 100 {
		_, err := quick.Recv(ctx)
		is.NoErr(err)
	}
	// Messages have 100 bytes. The window is 1024 bytes and may be exceeded by one message.
	for range 11 {
		<-sent
	}
	is.Equal(len(sent), 0)
	slow.Close()
}

func TestStreamEnds(t *testing.T) {
	cases := []struct {
		name    string
		handler Handler
		check   func(error) bool
	}{
		{"success is EOF", func(context.Context, *Stream, []byte) error { return nil },
			func(err error) bool { return errors.Is(err, io.EOF) }},
		{"a typed error keeps code, step and peer", func(context.Context, *Stream, []byte) error {
			return &RemoteError{Code: "full", Step: "admit", Peer: "engine-1", Message: "no room"}
		}, func(err error) bool {
			var remote *RemoteError
			return errors.As(err, &remote) && remote.Code == "full" && remote.Step == "admit" && remote.Peer == "engine-1"
		}},
		{"a lost connection is not EOF", func(_ context.Context, s *Stream, _ []byte) error {
			s.conn.terminate()
			return nil
		}, func(err error) bool { return errors.Is(err, ErrConnectionLost) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			addr := startServer(t, testConfig, map[string]Handler{"m": tc.handler})
			pool := testPool(t, testConfig)
			s, err := pool.Open(context.Background(), addr, "m", nil)
			is.NoErr(err)
			_, err = s.Recv(context.Background())
			is.True(tc.check(err))
		})
	}
}

// A shutdown also waits for streams that are opened while it waits, without a data race.
func TestStreamsOpenedDuringAShutdown(t *testing.T) {
	is := is.New(t)
	server := NewServer(testConfig)
	server.Handle("m", func(context.Context, *Stream, []byte) error { return nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	pool := NewPool(testConfig)
	defer pool.Close()
	for range 50 {
		s, err := pool.Open(context.Background(), l.Addr().String(), "m", nil)
		is.NoErr(err)
		defer s.Close()
	}
	is.NoErr(server.Shutdown(context.Background()))
	is.NoErr(<-served)
}

func TestCloseCancelsTheHandler(t *testing.T) {
	is := is.New(t)
	started, canceled := make(chan struct{}), make(chan struct{})
	addr := startServer(t, testConfig, map[string]Handler{"wait": func(ctx context.Context, _ *Stream, _ []byte) error {
		close(started)
		<-ctx.Done()
		close(canceled)
		return ctx.Err()
	}})
	pool := testPool(t, testConfig)
	s, err := pool.Open(context.Background(), addr, "wait", nil)
	is.NoErr(err)
	<-started
	s.Close()
	<-canceled
}

func TestRejectedPeers(t *testing.T) {
	cases := []struct {
		name string
		cfg  Config
	}{
		{"another secret", Config{Instance: "b", Secret: []byte("other")}},
		{"no secret", Config{Instance: "b"}},
	}
	addr := startServer(t, testConfig, map[string]Handler{"count": countTo(1)})
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := testPool(t, tc.cfg).Open(context.Background(), addr, "count", nil)
			var dial *DialError
			is.True(errors.As(err, &dial))
			is.True(errors.Is(err, ErrHandshake))
		})
	}
}

func TestMalformedFramesEndTheConnection(t *testing.T) {
	cases := []struct {
		name  string
		bytes []byte
	}{
		{"a frame beyond the limit", []byte{0xff, 0xff, 0xff, 0xff}},
		{"not msgpack", []byte{0, 0, 0, 2, 0xc1, 0xc1}},
		{"another version", func() []byte {
			body, _ := (&hello{Version: protocolVersion + 1, Nonce: newNonce()}).MarshalMsg(nil)
			return appendFrame(nil, frameHello, 0, body)
		}()},
	}
	addr := startServer(t, testConfig, nil)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", addr)
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(tc.bytes)
			is.NoErr(err)
			_, err = conn.Read(make([]byte, 1))
			is.True(err != nil) // closed without a response
		})
	}
}

// A connection that delivers no bytes although TCP sees no error is closed after the idle
// timeout, and the next call uses a new connection.
func TestIdleTimeoutClosesConnection(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, testConfig, map[string]Handler{"wait": func(ctx context.Context, s *Stream, _ []byte) error {
		if err := s.Send(ctx, []byte("here")); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}})
	var silent atomic.Bool
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer proxy.Close()
	go func() {
		for {
			dialer, err := proxy.Accept()
			if err != nil {
				return
			}
			target, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			first := !silent.Load() // later connections are not affected
			go relayUntil(dialer, target, func() bool { return first && silent.Load() })
			go relayUntil(target, dialer, func() bool { return first && silent.Load() })
		}
	}()
	pool := testPool(t, testConfig)
	ctx := context.Background()
	s, err := pool.Open(ctx, proxy.Addr().String(), "wait", nil)
	is.NoErr(err)
	_, err = s.Recv(ctx)
	is.NoErr(err)
	silent.Store(true)
	_, err = s.Recv(ctx)
	is.True(errors.Is(err, ErrConnectionLost))
	s, err = pool.Open(ctx, proxy.Addr().String(), "wait", nil)
	is.NoErr(err)
	message, err := s.Recv(ctx)
	is.NoErr(err)
	is.Equal(string(message), "here")
}

// While one side only sends and the other only receives, the idle timeout must not close
// the connection as long as both sides answer pings.
func TestOneWayStreamsKeepTheConnection(t *testing.T) {
	cfg := testConfig
	cfg.WindowBytes = DefaultWindowBytes // large enough that no window frames are sent
	cfg.PingAfter, cfg.IdleTimeout = 200*time.Millisecond, time.Second
	pause := cfg.PingAfter / 10
	messages := int(3 * cfg.IdleTimeout / pause)
	handlers := map[string]Handler{
		"answer": func(ctx context.Context, s *Stream, _ []byte) error {
			for range messages {
				time.Sleep(pause)
				if err := s.Send(ctx, []byte("token")); err != nil {
					return err
				}
			}
			return nil
		},
		"upload": func(ctx context.Context, s *Stream, _ []byte) error {
			for range messages {
				if _, err := s.Recv(ctx); err != nil {
					return err
				}
			}
			return s.Send(ctx, []byte("all"))
		},
		"wait": func(ctx context.Context, s *Stream, _ []byte) error { // no messages in either direction
			time.Sleep(time.Duration(messages) * pause)
			return s.Send(ctx, []byte("done"))
		},
	}
	addr := startServer(t, cfg, handlers)
	ctx := context.Background()
	for _, method := range []string{"answer", "upload", "wait"} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, err := testPool(t, cfg).Open(ctx, addr, method, nil)
			is.NoErr(err)
			want := 1
			switch method {
			case "answer":
				want = messages
			case "upload":
				for range messages {
					time.Sleep(pause)
					is.NoErr(s.Send(ctx, []byte("part")))
				}
			}
			for range want {
				_, err := s.Recv(ctx)
				is.NoErr(err)
			}
		})
	}
}

// relayUntil copies bytes from one connection to the other until either is closed. It
// discards them while silent returns true.
func relayUntil(from, to net.Conn, silent func() bool) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 1<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if silent() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Large compressible messages are deflated on the wire and received unchanged.
func TestLargeMessagesAreDeflated(t *testing.T) {
	is := is.New(t)
	large := bytes.Repeat([]byte("front-medeu-1 10.1.0.9:7340 "), 1000)
	random := make([]byte, len(large))
	_, _ = rand.Read(random)
	for _, message := range [][]byte{nil, []byte("a"), large[:minDeflateBytes-1], large, random} {
		kind, body := encodeMessage(message)
		is.True(len(body) <= len(message))
		is.Equal(kind == frameDeflated, bytes.Equal(message, large))
	}
	_, deflated := encodeMessage(large)
	is.True(len(deflated) < len(large)/10)

	addr := startServer(t, testConfig, map[string]Handler{"echo": func(ctx context.Context, s *Stream, message []byte) error {
		for range 3 { // more than a window of uncompressed bytes
			if err := s.Send(ctx, message); err != nil {
				return err
			}
		}
		return nil
	}})
	ctx := context.Background()
	s, err := testPool(t, testConfig).Open(ctx, addr, "echo", large)
	is.NoErr(err)
	for range 3 {
		got, err := s.Recv(ctx)
		is.NoErr(err)
		is.True(bytes.Equal(got, large))
	}
	_, err = s.Recv(ctx)
	is.Equal(err, io.EOF)
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add(appendFrame(nil, frameData, 7, []byte("x"))[frameLengthBytes:])
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = decodeFrame(data)
	})
}

func BenchmarkStreamMessage(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	cfg := Config{Instance: "a", Secret: []byte("s")}
	server := NewServer(cfg)
	server.Handle("flood", func(ctx context.Context, s *Stream, _ []byte) error {
		message := make([]byte, 200)
		for range b.N {
			if err := s.Send(ctx, message); err != nil {
				return err
			}
		}
		return nil
	})
	go func() { _ = server.Serve(l) }()
	pool := NewPool(cfg)
	defer pool.Close()
	b.ReportAllocs()
	b.ResetTimer()
	s, err := pool.Open(context.Background(), l.Addr().String(), "flood", nil)
	if err != nil {
		b.Fatal(err)
	}
	for {
		if _, err := s.Recv(context.Background()); err != nil {
			return
		}
	}
}
