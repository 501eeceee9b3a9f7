package settings

import (
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Role is a function that an instance performs in the fleet.
type Role string

// The roles of an instance.
const (
	// RoleRouter serves callers and owns upstreams.
	RoleRouter Role = "router"
	// RoleControl keeps the replicated log; it needs a data directory.
	RoleControl Role = "control"
)

// Settings are the settings of one instance.
type Settings struct {
	// Instance is the ID of this process; it stays the same across restarts. Required.
	Instance fleet.InstanceID `yaml:"instance" validate:"required"`
	// Region is the region that the instance runs in.
	Region fleet.Region `yaml:"region" default:"local"`
	// Zone is the availability zone that the instance runs in.
	Zone fleet.AvailabilityZone `yaml:"zone" default:"local"`
	// Roles are the roles of the instance: router, control or both.
	Roles []Role `yaml:"roles" default:"router" validate:"unique,dive,oneof=router control"`
	// Listen holds the addresses that the instance listens on.
	Listen Listen `yaml:"listen"`
	// Control holds the addresses and limits of the control members.
	Control Control `yaml:"control"`
	// DataDir is the directory of the durable state. Required on a control instance.
	DataDir string `yaml:"data_dir"`
	// Platform configures access to the platform's upstream list.
	Platform Platform `yaml:"platform"`
	// FleetSecretFile is a file with the secret with which instances authenticate each
	// other. Without it and without listen.mesh_tls, the fleet accepts any process that
	// can reach the mesh.
	FleetSecretFile string `yaml:"fleet_secret_file"`
	// Operators lists who may change the configuration.
	Operators []Operator `yaml:"operators" validate:"unique=Name,dive"`
	// Session configures the leases of routers.
	Session Session `yaml:"session"`
	// GracePeriod is how long a planned stop waits for in-flight requests.
	GracePeriod time.Duration `yaml:"grace_period" default:"30s" validate:"gt=0"`
	// DrainNotice is how long a stopping router continues to serve after it has reported
	// to the balancer that it is not ready. It must be longer than the balancer's check
	// interval.
	DrainNotice time.Duration `yaml:"drain_notice" default:"2s" validate:"gt=0"`
	// Limits bound the resources that one peer may use.
	Limits Limits `yaml:"limits"`
	// Queue limits the requests that wait for an upstream.
	Queue Queue `yaml:"queue"`
	// Ledger limits the records of requests that run at most once.
	Ledger Ledger `yaml:"ledger"`
	// Tracing configures the export of spans.
	Tracing Tracing `yaml:"tracing"`
	// Log configures the logs.
	Log Log `yaml:"log"`
}

// Listen holds the addresses of an instance, each HOST:PORT. The host is an IP
// address, or empty for all addresses.
type Listen struct {
	// Callers is the address of the HTTP server for callers, on a router.
	Callers string `yaml:"callers" default:":8080" validate:"listen_addr"`
	// CallersTLS serves callers over HTTPS.
	CallersTLS TLS `yaml:"callers_tls"`
	// Operators is the address of the HTTP server for operators, on a control instance.
	Operators string `yaml:"operators" default:":8090" validate:"listen_addr"`
	// OperatorsTLS serves operators over HTTPS.
	OperatorsTLS TLS `yaml:"operators_tls"`
	// Mesh is the address, IP:port, at which other instances reach this one. Required.
	Mesh string `yaml:"mesh" validate:"required,peer_addr"`
	// MeshBind is the address that the instance listens on for the mesh, if it differs
	// from Mesh: behind address translation or a proxy.
	MeshBind string `yaml:"mesh_bind" validate:"omitempty,listen_addr"`
	// Debug is the address of an HTTP server with the Go runtime's profiles; empty
	// means none. It needs no credential, so use a loopback address.
	Debug string `yaml:"debug" validate:"omitempty,listen_addr"`
	// MeshTLS enables mutual TLS between instances. Either all instances of the fleet
	// use it or none.
	MeshTLS MeshTLS `yaml:"mesh_tls"`
}

// MeshTLS names the files of mutual TLS between instances; all empty means plain
// TCP. The files are reloaded when they change.
type MeshTLS struct {
	// CertificateFile is a PEM file with this instance's certificate, which holds
	// the IP address of listen.mesh.
	CertificateFile string `yaml:"certificate_file" validate:"required_with=KeyFile AuthorityFile"`
	// KeyFile is a PEM file with the private key.
	KeyFile string `yaml:"key_file" validate:"required_with=CertificateFile AuthorityFile"`
	// AuthorityFile is a PEM file with the certificate that signs every instance's.
	AuthorityFile string `yaml:"authority_file" validate:"required_with=CertificateFile KeyFile"`
}

// TLS names the files of a server certificate; both empty means plain HTTP.
type TLS struct {
	// CertificateFile is a PEM file with the certificate chain.
	CertificateFile string `yaml:"certificate_file" validate:"required_with=KeyFile"`
	// KeyFile is a PEM file with the private key.
	KeyFile string `yaml:"key_file" validate:"required_with=CertificateFile"`
}

// Control holds the addresses and limits of the control members.
type Control struct {
	// Members are the control members' mesh addresses, IP:port. Required.
	Members []string `yaml:"members" validate:"required,dive,peer_addr"`
	// ElectionTimeout is how long members receive no heartbeat from the leader before they
	// elect another one. The heartbeat interval is a quarter of it.
	ElectionTimeout time.Duration `yaml:"election_timeout" default:"1s" validate:"gte=200ms"`
	// CopyRate limits the bandwidth that a control member uses for sending copies of the
	// configuration, in bytes a second; 0 means no limit.
	CopyRate int64 `yaml:"copy_rate" validate:"gte=0"`
}

// Platform configures access to the platform's upstream list.
type Platform struct {
	// URL is the base URL of the platform. Required on a router.
	URL string `yaml:"url" validate:"omitempty,http_url"`
	// PollInterval is the time between two reads of the upstream list.
	PollInterval time.Duration `yaml:"poll_interval" default:"1s" validate:"gt=0"`
}

// Operator is an identity that may change the configuration.
type Operator struct {
	// Name is the operator's name in logs.
	Name string `yaml:"name" validate:"required"`
	// KeyDigests are hex SHA-256 digests of the operator's keys.
	KeyDigests []string `yaml:"key_digests" validate:"required,unique,dive,len=64,hexadecimal"`
}

// Session configures the leases of routers.
type Session struct {
	// Lease is the duration of a router's lease.
	Lease time.Duration `yaml:"lease" default:"3s" validate:"gt=0"`
	// RenewInterval is the time between two renewals, at most a third of the lease.
	RenewInterval time.Duration `yaml:"renew_interval" default:"1s" validate:"gt=0"`
}

// Limits bound the resources that one peer may use.
type Limits struct {
	// MaxHeaderBytes limits the header of a request, in bytes.
	MaxHeaderBytes int `yaml:"max_header_bytes" default:"65536" validate:"gt=0"`
	// MaxBodyBytes limits the body of a request, in bytes.
	MaxBodyBytes int64 `yaml:"max_body_bytes" default:"16777216" validate:"gt=0"`
	// MaxFrameBytes limits a frame of the mesh, in bytes.
	MaxFrameBytes int `yaml:"max_frame_bytes" default:"1048576" validate:"gte=1024"`
	// MaxStreams limits the open streams of one mesh connection.
	MaxStreams int `yaml:"max_streams" default:"16384" validate:"gt=0"`
	// MaxConnections limits the number of callers' connections.
	MaxConnections int `yaml:"max_connections" default:"16384" validate:"gt=0"`
	// IdleTimeout is how long a caller's connection may be idle between two requests. On the
	// users' platform the configuration in force says so.
	IdleTimeout time.Duration `yaml:"idle_timeout" default:"1m" validate:"gt=0"`
	// GatherInterval is the time between two reads of one engine's stream, at most
	// 250ms. It batches tokens: all tokens but the first, and the end of the stream, are
	// delayed by up to this time. Zero forwards each token at once.
	GatherInterval time.Duration `yaml:"gather_interval" validate:"gte=0,lte=250ms"`
}

// Queue limits the requests that wait for an upstream.
type Queue struct {
	// MaxWaiting is the maximum number of requests that wait for one upstream.
	MaxWaiting int `yaml:"max_waiting" default:"64" validate:"gt=0"`
	// MaxWait is the maximum time that a request waits.
	MaxWait time.Duration `yaml:"max_wait" default:"10s" validate:"gt=0"`
}

// Ledger limits the records of requests that run at most once.
type Ledger struct {
	// MaxAnswerBytes is the maximum length of an answer that is kept, in bytes.
	MaxAnswerBytes int64 `yaml:"max_answer_bytes" default:"65536" validate:"gt=0"`
	// MaxAge is how long a finished record is kept.
	MaxAge time.Duration `yaml:"max_age" default:"24h" validate:"gt=0"`
	// MaxRecords is the maximum number of records that are kept.
	MaxRecords int `yaml:"max_records" default:"1000000" validate:"gt=0"`
}

// Exporter is a destination of spans.
type Exporter string

// The exporters of spans.
const (
	ExporterNone Exporter = "none"
	ExporterOTLP Exporter = "otlp"
	ExporterFile Exporter = "file"
)

// Tracing configures the export of spans.
type Tracing struct {
	// Exporter is none, otlp or file.
	Exporter Exporter `yaml:"exporter" default:"none" validate:"oneof=none otlp file"`
	// Endpoint is the URL of the OTLP collector over HTTP. Required for otlp.
	Endpoint string `yaml:"endpoint" validate:"omitempty,http_url"`
	// Path is the file that spans are appended to as JSON. Required for file.
	Path string `yaml:"path"`
	// SampleRatio is the fraction of traces that are exported, above 0 and up to 1.
	SampleRatio float64 `yaml:"sample_ratio" default:"1" validate:"gt=0,lte=1"`
}

// Log configures the logs.
type Log struct {
	// Level is trace, debug, info, warn, error or off.
	Level string `yaml:"level" default:"info" validate:"oneof=trace debug info warn error off"`
	// JSON writes each log line as a JSON object.
	JSON bool `yaml:"json"`
}

// Has reports whether the instance has the role.
func (s Settings) Has(role Role) bool { return slices.Contains(s.Roles, role) }

// WithDefaults returns s with its zero values replaced by the defaults.
func (s Settings) WithDefaults() Settings {
	applyDefaults(&s)
	return s
}
