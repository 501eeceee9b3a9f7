package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/settings"
)

// noticeRouter is a plainRouter whose notice lasts until notice is closed.
type noticeRouter struct {
	plainRouter
	begun, notice chan struct{}
}

func (r noticeRouter) Drain(context.Context) {
	close(r.begun)
	<-r.notice
}

// An answer that began before a stop can't announce it. If its connection stays open until the
// notice is over, the next request of its caller may cross the close.
func TestConnectionStaysOpenBehindAnswerThatBeganBeforeStop(t *testing.T) {
	for _, pipelined := range []bool{false, true} {
		t.Run(map[bool]string{false: "idle", true: "next request sent"}[pipelined], func(t *testing.T) {
			is := is.New(t)
			began, end := make(chan struct{}, 2), make(chan struct{})
			router := noticeRouter{begun: make(chan struct{}), notice: make(chan struct{})}
			router.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_ = http.NewResponseController(w).Flush()
				began <- struct{}{}
				<-end
				serveAll(w, r)
			})
			s := settings.Settings{Instance: "i", Roles: []settings.Role{settings.RoleRouter}}
			addrs := freeAddrs(t, 2)
			s.Listen.Mesh, s.Listen.Callers = addrs[0], addrs[1]
			a, err := StartWith(t.Context(), s.WithDefaults(), io.Discard, Extension{Router: func(Parts, settings.Settings) Router { return router }})
			is.NoErr(err)
			c, err := net.Dial("tcp", s.Listen.Callers)
			is.NoErr(err)
			defer c.Close()
			send(t, c)
			<-began
			stopped := make(chan error, 1)
			go func() { stopped <- a.Stop(t.Context()) }()
			<-router.begun
			requests := 1
			if pipelined {
				send(t, c)
				requests = 2
			}
			close(end)
			is.NoErr(c.SetReadDeadline(time.Now().Add(time.Minute)))
			answers := bufio.NewReader(c)
			for range requests {
				resp, err := http.ReadResponse(answers, nil)
				is.NoErr(err)
				_, err = io.ReadAll(resp.Body)
				is.NoErr(err)
			}
			_, err = answers.ReadByte()
			is.Equal(err, io.EOF) // the connection stays open
			close(router.notice)
			is.NoErr(<-stopped)
			is.Equal(stopLine(t, a.callers)["closed_answered"], 1.0)
			is.Equal(a.callers.closedIdle.Count(), int64(0))
		})
	}
}

// descriptorListener is a pausedListener whose connections have a descriptor.
type descriptorListener struct{ *pausedListener }

func (l descriptorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return descriptorConn{&pausedConn{c, l.pausedListener}, c.(*net.TCPConn)}, nil
}

type descriptorConn struct {
	*pausedConn
	syscall.Conn
}

// net/http reads the first byte of the next request while it serves one, and has it in hand when the
// connection is closed behind the answer.
func TestStopDropsNextRequestWhoseFirstByteWasRead(t *testing.T) {
	for _, descriptor := range []bool{false, true} {
		t.Run(map[bool]string{false: "without a descriptor", true: "with a descriptor"}[descriptor], func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			paused := &pausedListener{Listener: l, paused: new(atomic.Bool), arrived: make(chan struct{}, 1), resume: make(chan struct{})}
			began, end := make(chan struct{}, 2), make(chan struct{})
			s := newCallerServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				<-end
				serveAll(w, r)
			})})
			if descriptor {
				l = descriptorListener{paused}
			} else {
				l = paused
			}
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer c.Close()
			send(t, c)
			<-began
			paused.paused.Store(true)
			send(t, c)
			<-paused.arrived
			s.beginStop()
			close(end)
			paused.paused.Store(false)
			close(paused.resume)
			answers := bufio.NewReader(c)
			for range 2 {
				resp, err := http.ReadResponse(answers, nil)
				is.NoErr(err) // the next request was dropped
				_, err = io.ReadAll(resp.Body)
				is.NoErr(err)
			}
		})
	}
}
