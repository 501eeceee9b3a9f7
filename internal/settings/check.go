package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// checker collects the violations in decoded settings.
type checker struct {
	file       string
	lines      Lines
	violations []Violation
}

func (c *checker) report(field, message, remedy string) {
	c.violations = append(c.violations, Violation{
		File: c.file, Line: c.lines.lineOf(field), Field: field, Message: message, Remedy: remedy,
	})
}

// check returns every violation in s that decoding does not detect.
func check(file string, lines Lines, s Settings) []Violation {
	c := checker{file: file, lines: lines}
	c.checkFields(s)
	c.checkRoles(s)
	c.checkAddresses(s)
	c.checkDurations(s)
	c.checkTracing(s)
	return c.violations
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	for tag, valid := range map[string]func(string) bool{
		"peer_addr":   func(a string) bool { return isPeerAddr(a) },
		"listen_addr": func(a string) bool { return isListenAddr(a) },
	} {
		err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) })
		if err != nil {
			panic(err)
		}
	}
	return v
}

// isPeerAddr reports whether a is IP:port with a specific IP address and a port other
// than 0.
func isPeerAddr(a string) bool {
	addr, err := netip.ParseAddrPort(a)
	return err == nil && !addr.Addr().IsUnspecified() && addr.Port() != 0
}

// isListenAddr reports whether a is IP:port or :port.
func isListenAddr(a string) bool {
	host, _, err := net.SplitHostPort(a)
	if err != nil {
		return false
	}
	if host == "" {
		a = "0.0.0.0" + a
	}
	_, err = netip.ParseAddrPort(a)
	return err == nil
}

// checkFields checks each field by its validate tag.
func (c *checker) checkFields(s Settings) {
	var invalid validator.ValidationErrors
	if err := validate.Struct(s); !errors.As(err, &invalid) {
		return
	}
	for _, e := range invalid {
		path := strings.TrimPrefix(e.Namespace(), reflect.TypeOf(s).Name()+".")
		message, remedy := describeFailure(e)
		c.report(path, message, remedy)
	}
}

// describeFailure returns the message and remedy of a failed validate tag.
func describeFailure(e validator.FieldError) (message, remedy string) {
	value := fmt.Sprintf("%q", fmt.Sprint(e.Value()))
	switch e.Tag() {
	case "required", "required_with":
		return "is missing", "set it"
	case "peer_addr":
		return value + " is not a specific IP address with a port", "write the IP address that peers connect to, such as 10.0.0.1:7400"
	case "listen_addr":
		return value + " is not a listen address", "write IP:PORT or :PORT, such as 127.0.0.1:8080"
	case "http_url":
		return value + " is not a URL", "write an http or https URL"
	case "oneof":
		return value + " is not a known value", "write one of " + strings.ReplaceAll(e.Param(), " ", ", ")
	case "len", "hexadecimal":
		return value + " is not a SHA-256 digest", "write the 64 hex digits that sha256sum prints for the key"
	case "unique":
		return "contains a duplicate entry", "remove one of the two"
	case "gt":
		return value + " is too small", "write a value above " + e.Param()
	case "gte":
		return value + " is too small", "write at least " + e.Param()
	case "lte":
		return value + " is too large", "write at most " + e.Param()
	}
	return value + " violates the rule " + e.Tag(), "see docs/OPERATIONS.md"
}

// checkRoles checks that the settings that the instance's roles need are set.
func (c *checker) checkRoles(s Settings) {
	if s.Has(RoleControl) && s.DataDir == "" {
		c.report("data_dir", "a control instance needs a data directory", "set data_dir to a directory on a disk")
	}
	if s.Has(RoleRouter) && s.Platform.URL == "" {
		c.report("platform.url", "a router needs the platform's upstream list", "set platform.url")
	}
}

// checkAddresses checks that no address is used twice and that the instance is listed as
// a control member only if it has the control role.
func (c *checker) checkAddresses(s Settings) {
	used := make(map[string]string)
	own := []struct{ field, addr string }{{"listen.mesh", s.Listen.Mesh}}
	if s.Has(RoleRouter) {
		own = append(own, struct{ field, addr string }{"listen.callers", s.Listen.Callers})
	}
	if s.Has(RoleControl) {
		own = append(own, struct{ field, addr string }{"listen.operators", s.Listen.Operators})
	}
	for _, o := range own {
		c.checkUnused(used, o.field, o.addr)
	}
	members := make(map[string]string)
	for i, addr := range s.Control.Members {
		c.checkUnused(members, fmt.Sprintf("control.members[%d]", i), addr)
	}
	_, listed := members[s.Listen.Mesh]
	if !s.Has(RoleControl) && listed {
		c.report(members[s.Listen.Mesh], "the instance lists itself but has no control role", "add control to roles or correct the address")
	}
}

// checkUnused adds addr and its field to used, and reports an addr that is already there.
func (c *checker) checkUnused(used map[string]string, field, addr string) {
	if first, ok := used[addr]; ok && addr != "" {
		c.report(field, fmt.Sprintf("address %s is already used by %s", addr, first), "give each its own address")
		return
	}
	used[addr] = field
}

// minRenewalsPerLease is the minimum number of renewal intervals in a lease.
const minRenewalsPerLease = 3

// checkDurations checks that a lease allows for enough renewals.
func (c *checker) checkDurations(s Settings) {
	if s.Session.RenewInterval*minRenewalsPerLease > s.Session.Lease {
		c.report("session.renew_interval",
			fmt.Sprintf("%v is more than a third of the lease of %v", s.Session.RenewInterval, s.Session.Lease),
			"shorten renew_interval or lengthen lease")
	}
}

// checkTracing checks that the exporter has its destination.
func (c *checker) checkTracing(s Settings) {
	if s.Tracing.Exporter == ExporterOTLP && s.Tracing.Endpoint == "" {
		c.report("tracing.endpoint", "the otlp exporter needs an endpoint", "set the collector's URL")
	}
	if s.Tracing.Exporter == ExporterFile && s.Tracing.Path == "" {
		c.report("tracing.path", "the file exporter needs a path", "set the file to append to")
	}
}

// CheckReferencedFiles reports the directories and files named in s that are missing on
// this host; settingsFile is the path of the settings file.
// A process calls it at startup. A check of the settings on another host omits it.
func CheckReferencedFiles(settingsFile string, s Settings) []Violation {
	c := checker{file: settingsFile, lines: readLines(settingsFile)}
	if s.Has(RoleControl) && s.DataDir != "" {
		info, err := os.Stat(s.DataDir)
		if err != nil || !info.IsDir() {
			c.report("data_dir", s.DataDir+" is not a directory", "create it on the disk that keeps the state")
		}
	}
	for _, f := range []struct{ field, path string }{
		{"fleet_secret_file", s.FleetSecretFile},
		{"listen.callers_tls.certificate_file", s.Listen.CallersTLS.CertificateFile},
		{"listen.callers_tls.key_file", s.Listen.CallersTLS.KeyFile},
		{"listen.mesh_tls.certificate_file", s.Listen.MeshTLS.CertificateFile},
		{"listen.mesh_tls.key_file", s.Listen.MeshTLS.KeyFile},
		{"listen.mesh_tls.authority_file", s.Listen.MeshTLS.AuthorityFile},
		{"listen.operators_tls.certificate_file", s.Listen.OperatorsTLS.CertificateFile},
		{"listen.operators_tls.key_file", s.Listen.OperatorsTLS.KeyFile},
	} {
		if f.path == "" {
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			c.report(f.field, f.path+" can't be read", "create the file or correct the path")
		}
	}
	return c.violations
}

// readLines returns the field lines of a file, or nil if it can't be read.
func readLines(file string) Lines {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil
	}
	lines, _ := Decode(file, data, &Settings{})
	return lines
}
