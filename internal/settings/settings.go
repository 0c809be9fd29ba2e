// Package settings reads the INI file of the daemon and checks all of it
// before the daemon opens a socket or a connection.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// Settings are the checked settings of one instance. They are not changed
// after Load, so that all goroutines may read them.
type Settings struct {
	Instance Instance
	Platform Platform
	Limits   Limits
	Shutdown Shutdown
	Log      Log
	Policy   Policy
}

// Instance says who this instance is. Addresses are IP:port.
type Instance struct {
	Name string
	Zone string
	// PeerAddress and CallerAddress are advertised to others.
	PeerAddress   string
	PeerListen    string
	CallerAddress string
	CallerListen  string
	// Seeds are peer addresses that are asked for members at the start.
	Seeds []string
}

// Platform is the object API of the platform.
type Platform struct {
	Address string
	Timeout time.Duration // of one call, without the wait of a watch
}

// Limits bound what callers may ask of the instance.
type Limits struct {
	MaxInFlight     int
	MaxBodyBytes    int64
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Shutdown sets the pace of a graceful shutdown.
type Shutdown struct {
	DrainDelay   time.Duration
	DrainTimeout time.Duration // counted from the end of DrainDelay
}

// Log sets what the instance logs.
type Log struct {
	Level string
	Trace bool
}

// Policy selects the request policies. Values other than the defaults are the
// baselines of the benchmark.
type Policy struct {
	Hedging       string
	ReplicaChoice string
	Retries       string
}

// Error is one fault of a settings file.
type Error struct {
	File    string
	Line    int // counted from 1
	Section string
	Key     string // empty for a fault of the section or the line
	Message string
}

// Error formats the fault as FILE:LINE: [section] key: message.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	if e.Section != "" {
		fmt.Fprintf(&b, "[%s] ", e.Section)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, "%s: ", e.Key)
	}
	b.WriteString(e.Message)
	return b.String()
}

// Load reads and checks the file. It returns every fault that it finds, in
// the order of the lines; the settings are usable only when there is none.
func Load(path string) (Settings, []error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []error{err}
	}
	return Parse(path, data)
}

// Parse is Load for the content of a file. file names it in errors.
func Parse(file string, data []byte) (Settings, []error) {
	var s Settings
	errs := parse(file, data, fields(&s), func(p *parser, failed map[string]bool) { p.checkTogether(&s, failed) })
	return s, errs
}

// parse reads the fields of a file and returns its faults in the order of the
// lines. together finds faults between keys; it leaves out those that failed.
func parse(file string, data []byte, fields []field, together func(p *parser, failed map[string]bool)) []error {
	p := &parser{file: file, sections: map[string]int{}, keys: map[string]entry{}}
	p.scan(string(data), fields)
	failed := map[string]bool{}
	for _, f := range fields {
		section, key, _ := strings.Cut(f.name, ".")
		e, ok := p.keys[f.name]
		switch {
		case !ok && f.required:
			line := max(p.sections[section], 1)
			p.fail(line, section, key, "missing; this key is required")
			failed[f.name] = true
			continue
		case !ok && f.initial == "":
			continue
		case !ok:
			e = entry{value: f.initial}
		}
		if err := f.set(e.value); err != nil {
			p.fail(e.line, section, key, err.Error())
			failed[f.name] = true
		}
	}
	together(p, failed)
	slices.SortStableFunc(p.errs, func(a, b *Error) int { return a.Line - b.Line })
	errs := make([]error, len(p.errs))
	for i, e := range p.errs {
		errs[i] = e
	}
	return errs
}

// checkTogether fills defaults that follow another key and finds keys that
// contradict each other. Keys that failed on their own are left out.
func (p *parser) checkTogether(s *Settings, failed map[string]bool) {
	in := &s.Instance
	if in.PeerListen == "" && !failed["instance.peer_listen"] {
		in.PeerListen = in.PeerAddress
	}
	if in.CallerListen == "" && !failed["instance.caller_listen"] {
		in.CallerListen = in.CallerAddress
	}
	conflict := func(bad bool, message string, names ...string) {
		if !bad || slices.ContainsFunc(names, func(n string) bool { return failed[n] }) {
			return
		}
		for _, n := range names {
			// At least one of the keys is in the file: defaults agree.
			if e, ok := p.keys[n]; ok {
				section, key, _ := strings.Cut(n, ".")
				p.fail(e.line, section, key, message)
				return
			}
		}
	}
	conflict(s.Limits.DefaultDeadline > s.Limits.MaxDeadline,
		fmt.Sprintf("conflict: default_deadline %v is longer than max_deadline %v", s.Limits.DefaultDeadline, s.Limits.MaxDeadline),
		"limits.default_deadline", "limits.max_deadline")
	conflict(in.PeerAddress != "" && in.PeerAddress == in.CallerAddress,
		fmt.Sprintf("conflict: peer_address and caller_address are both %s", in.PeerAddress),
		"instance.caller_address", "instance.peer_address")
	// With equal advertised addresses and no listen keys, the fault above says it.
	explicit := p.has("instance.peer_listen") || p.has("instance.caller_listen")
	conflict(explicit && overlap(in.PeerListen, in.CallerListen),
		fmt.Sprintf("conflict: peer_listen %s and caller_listen %s use the same port", in.PeerListen, in.CallerListen),
		"instance.caller_listen", "instance.peer_listen")
	conflict(in.PeerAddress != "" && in.PeerAddress == s.Platform.Address,
		"conflict: address is this instance's own peer_address", "platform.address", "instance.peer_address")
	conflict(in.CallerAddress != "" && in.CallerAddress == s.Platform.Address,
		"conflict: address is this instance's own caller_address", "platform.address", "instance.caller_address")
}

// overlap reports whether two listen addresses cannot be open together.
func overlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}
