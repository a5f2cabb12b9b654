// Package settings reads a node's settings from flags and environment variables and reports
// all invalid ones together.
package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/pflag"
)

// EnvironmentPrefix starts the name of each environment variable; the rest is
// the flag's name in upper case with underscores.
const EnvironmentPrefix = "FILBERTTURN_"

// Settings configures one node. Parse validates them.
type Settings struct {
	CallerAddress  netip.AddrPort    // Address for callers.
	BackendAddress netip.AddrPort    // Address for announcements of backend servers.
	PeerAddress    netip.AddrPort    // Address for other nodes.
	AdminAddress   netip.AddrPort    // Address for operators.
	DataCentre     string            // Data centre of the VM.
	Region         string            // Region of the data centre.
	Stores         []netip.AddrPort  // Addresses of the platform's key-value service.
	Peers          []netip.AddrPort  // Peer addresses of some other nodes, through which this one joins the fleet.
	Certificate    string            // File with the node's certificate chain, in PEM.
	Key            string            // File with the node's private key, in PEM.
	Authority      string            // File with the certificate authority of the nodes, in PEM.
	Bootstrap      BootstrapOperator // Operator that may publish while there is no configuration.
	LogLevel       string            // Level of zerolog: debug, info, warn or error.
	DrainDelay     time.Duration     // Time after a stop signal in which new requests are still served.
	DrainTimeout   time.Duration     // Longest time that requests may take after a stop signal.
}

// BootstrapOperator is an operator that is accepted until the first configuration is published.
type BootstrapOperator struct {
	Name string
	Hash string // SHA-256 of the token, in lower-case hexadecimal.
}

// Error lists every invalid setting.
type Error struct {
	Problems []Problem
}

// Problem describes one invalid setting.
type Problem struct {
	Setting string // Name of the flag.
	Message string
}

// Error implements the error interface.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("--%s (%s): %s", p.Setting, EnvironmentVariable(p.Setting), p.Message))
	}
	return strings.Join(lines, "\n")
}

// EnvironmentVariable returns the name of the environment variable of a flag.
func EnvironmentVariable(flag string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// RegisterFlags adds the flags of a node to f.
func RegisterFlags(f *pflag.FlagSet) {
	f.String("caller-address", "", "address for callers, IP:PORT")
	f.String("backend-address", "", "address for announcements of backend servers, IP:PORT")
	f.String("peer-address", "", "address for other nodes, IP:PORT")
	f.String("admin-address", "", "address for operators, IP:PORT")
	f.String("data-centre", "", "data centre of this VM")
	f.String("region", "default", "region of the data centre")
	f.StringSlice("store", nil, "address of the key-value service, IP:PORT; may be repeated")
	f.StringSlice("peer", nil, "peer address of another node, IP:PORT; may be repeated")
	f.String("certificate", "", "file with the node's certificate chain, in PEM")
	f.String("key", "", "file with the node's private key, in PEM")
	f.String("authority", "", "file with the authority of nodes' certificates, in PEM")
	f.String("bootstrap-operator", "", "NAME:HASH of the operator that may publish the first set")
	f.String("log-level", "info", "least level that is logged: debug, info, warn or error")
	f.Duration("drain-delay", 3*time.Second, "time after a stop signal in which new requests are still served")
	f.Duration("drain-timeout", 30*time.Second, "longest time that requests may take after a stop signal")
}

// Parse reads and validates the settings in flags and environment variables. Flags take
// precedence. The error is of type *Error and lists all problems.
func Parse(f *pflag.FlagSet, environment func(string) (string, bool)) (Settings, error) {
	p := &parser{flags: f}
	p.readEnvironment(environment)
	s := Settings{
		CallerAddress:  p.address("caller-address"),
		BackendAddress: p.address("backend-address"),
		PeerAddress:    p.address("peer-address"),
		AdminAddress:   p.address("admin-address"),
		DataCentre:     p.name("data-centre"),
		Region:         p.name("region"),
		Stores:         p.addresses("store", true),
		Peers:          p.addresses("peer", false),
		Certificate:    p.file("certificate"),
		Key:            p.file("key"),
		Authority:      p.file("authority"),
		Bootstrap:      p.bootstrapOperator("bootstrap-operator"),
		LogLevel:       p.oneOf("log-level", "debug", "info", "warn", "error"),
		DrainDelay:     p.positiveDuration("drain-delay"),
		DrainTimeout:   p.positiveDuration("drain-timeout"),
	}
	p.checkDistinctAddresses(s)
	if len(p.problems) > 0 {
		return Settings{}, &Error{Problems: p.problems}
	}
	return s, nil
}

// parser converts values of flags and collects the problems of all of them.
type parser struct {
	flags    *pflag.FlagSet
	problems []Problem
}

func (p *parser) addProblem(setting, format string, args ...any) {
	p.problems = append(p.problems, Problem{Setting: setting, Message: fmt.Sprintf(format, args...)})
}

// hasProblem reports whether the setting was already found to be invalid.
func (p *parser) hasProblem(setting string) bool {
	return slices.ContainsFunc(p.problems, func(q Problem) bool { return q.Setting == setting })
}

func (p *parser) readEnvironment(environment func(string) (string, bool)) {
	p.flags.VisitAll(func(f *pflag.Flag) {
		value, ok := environment(EnvironmentVariable(f.Name))
		if !ok || f.Changed {
			return
		}
		if err := p.flags.Set(f.Name, value); err != nil {
			p.addProblem(f.Name, "%v", err)
		}
	})
}

func (p *parser) value(name string) string {
	return p.flags.Lookup(name).Value.String()
}

func (p *parser) address(name string) netip.AddrPort {
	return p.parseAddress(name, p.value(name))
}

func (p *parser) parseAddress(name, text string) netip.AddrPort {
	if text == "" {
		p.addProblem(name, "is required")
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		p.addProblem(name, "%q is not an address IP:PORT", text)
		return netip.AddrPort{}
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		p.addProblem(name, "%q has an unspecified IP address or port 0", text)
	}
	return a
}

func (p *parser) addresses(name string, required bool) []netip.AddrPort {
	values, err := p.flags.GetStringSlice(name)
	if err != nil {
		p.addProblem(name, "%v", err)
		return nil
	}
	if required && len(values) == 0 {
		p.addProblem(name, "is required")
	}
	list := make([]netip.AddrPort, 0, len(values))
	for _, v := range values {
		list = append(list, p.parseAddress(name, v))
	}
	return list
}

func (p *parser) name(name string) string {
	text := p.value(name)
	if text == "" {
		p.addProblem(name, "is required")
	}
	for _, r := range text {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", r) {
			p.addProblem(name, "%q holds a character other than letters, digits, '-', '_' and '.'", text)
			break
		}
	}
	return text
}

func (p *parser) file(name string) string {
	path := p.value(name)
	if path == "" {
		p.addProblem(name, "is required")
		return ""
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() {
		p.addProblem(name, "%q is not a readable file", path)
	}
	return path
}

func (p *parser) bootstrapOperator(name string) BootstrapOperator {
	text := p.value(name)
	if text == "" {
		return BootstrapOperator{}
	}
	operator, hash, ok := strings.Cut(text, ":")
	raw, err := hex.DecodeString(hash)
	if !ok || operator == "" || err != nil || len(raw) != 32 || hash != strings.ToLower(hash) {
		p.addProblem(name, "is not NAME:HASH with a SHA-256 hash in lower-case hexadecimal")
		return BootstrapOperator{}
	}
	return BootstrapOperator{Name: operator, Hash: hash}
}

func (p *parser) oneOf(name string, allowed ...string) string {
	text := p.value(name)
	for _, a := range allowed {
		if text == a {
			return text
		}
	}
	p.addProblem(name, "%q is not one of %s", text, strings.Join(allowed, ", "))
	return text
}

func (p *parser) positiveDuration(name string) time.Duration {
	d, err := p.flags.GetDuration(name)
	if (err != nil || d <= 0) && !p.hasProblem(name) {
		p.addProblem(name, "is not a positive duration")
	}
	return d
}

// checkDistinctAddresses adds a problem if two of the node's own addresses are the same.
func (p *parser) checkDistinctAddresses(s Settings) {
	seen := make(map[netip.AddrPort]string)
	own := []struct {
		name    string
		address netip.AddrPort
	}{
		{"caller-address", s.CallerAddress},
		{"backend-address", s.BackendAddress},
		{"peer-address", s.PeerAddress},
		{"admin-address", s.AdminAddress},
	}
	for _, o := range own {
		if !o.address.IsValid() {
			continue
		}
		if other := seen[o.address]; other != "" {
			p.addProblem(o.name, "%s is also --%s", o.address, other)
		}
		seen[o.address] = o.name
	}
}
