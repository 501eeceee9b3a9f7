package mesh

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/socket"
)

// Defaults of a Config's fields.
const (
	DefaultWindowBytes    = 256 << 10
	DefaultMaxStreams     = 20_000
	DefaultDialTimeout    = 700 * time.Millisecond
	DefaultMaxConnections = 4096
)

// TCP reports an unresponsive peer as lost after 1.5 s. A router that was cut off may be
// reachable for only 3 s at a time and must catch up within that time.
const (
	unackedTimeout    = 1500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
)

// limits returns the socket limits after which a connection counts as lost.
func (c *Config) limits() socket.Limits {
	return socket.Limits{
		Dial: c.DialTimeout, Unacked: unackedTimeout,
		Idle: keepAliveIdle, Interval: keepAliveInterval, Probes: keepAliveProbes,
	}
}

// Config holds the settings of a Pool or Server.
type Config struct {
	// Instance is the ID under which peers see this process.
	Instance fleet.InstanceID
	// Secret is the fleet's shared secret.
	Secret []byte
	// TLS enables mutual TLS; nil means plain TCP.
	TLS *TLSFiles
	// MaxFrameBytes limits the size of one message; 0 means DefaultMaxFrameBytes.
	MaxFrameBytes int
	// WindowBytes limits the unread bytes of one direction of a stream; 0 means
	// DefaultWindowBytes. It must be the same on every instance.
	WindowBytes int
	// MaxStreams limits the open streams of one connection; 0 means
	// DefaultMaxStreams.
	MaxStreams int
	// MaxConnections limits the accepted connections; 0 means
	// DefaultMaxConnections.
	MaxConnections int
	// DialTimeout bounds connecting and the handshake; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// PingAfter is how long a connection with open streams may receive no bytes before this
	// side sends a ping; 0 means DefaultPingAfter. The peer answers pings whatever its own
	// PingAfter.
	PingAfter time.Duration
	// IdleTimeout is how long a connection with open streams may receive no bytes, pongs
	// included, before this side closes it; 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// Guard confines panics to the stream or connection in whose work they occur; nil lets them
	// end the process.
	Guard *fleet.Guard
	// Logger logs rejected handshakes and lost connections; nil means no logs.
	Logger hclog.Logger
}

func (c Config) withDefaults() *Config {
	fleet.SetDefault(&c.MaxFrameBytes, DefaultMaxFrameBytes)
	fleet.SetDefault(&c.WindowBytes, DefaultWindowBytes)
	fleet.SetDefault(&c.MaxStreams, DefaultMaxStreams)
	fleet.SetDefault(&c.MaxConnections, DefaultMaxConnections)
	fleet.SetDefault(&c.DialTimeout, DefaultDialTimeout)
	fleet.SetDefault(&c.PingAfter, DefaultPingAfter)
	fleet.SetDefault(&c.IdleTimeout, DefaultIdleTimeout)
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &c
}
