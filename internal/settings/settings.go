// Package settings reads the INI file of an instance and checks all of it
// before the instance opens a socket or a connection.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// Settings holds the checked settings of an instance that `baobabsill run` runs.
// They are not changed after Load, so all goroutines may read them.
type Settings struct {
	Instance Instance
	Platform Platform
	Limits   Limits
	Shutdown Shutdown
	Log      Log
	Policy   Policy
}

// Instance identifies this instance. Addresses are IP:port.
type Instance struct {
	Name string
	Zone string
	// PeerAddress and CallerAddress are the addresses that peers and callers
	// connect to, and the defaults of the listen addresses.
	PeerAddress   string
	PeerListen    string
	CallerAddress string
	CallerListen  string
	// Seeds are peer addresses that get heartbeats even while no instance is known
	// at them. A starting instance learns of the others by their answers.
	Seeds []string
}

// Platform is how the instance reaches the object API of the platform.
type Platform struct {
	Address string
	Timeout time.Duration // of one call, without the wait of a watch
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxInFlight  int
	MaxBodyBytes int64
	// Memory and Descriptors are what the process has. Zero means a default.
	Memory          int64 // bytes
	Descriptors     int
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Shutdown bounds the phases of a graceful shutdown.
type Shutdown struct {
	DrainDelay   time.Duration
	DrainTimeout time.Duration // counted from the end of DrainDelay
}

// Log sets what the instance logs.
type Log struct {
	Level string
	Trace bool // log also the input and the output of each plan of a search
}

// Policy selects how requests are sent to targets. Values other than the defaults
// exist as baselines of the benchmark.
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

// Load reads and checks the settings of `baobabsill run`. It returns every fault
// in the order of the lines; the settings are usable only without faults.
func Load(path string) (Settings, []error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []error{err}
	}
	return Parse(path, data)
}

// Parse is Load for the content of a file; errors name it file.
func Parse(file string, data []byte) (Settings, []error) {
	var s Settings
	errs := parse(file, data, settingsFields(&s), func(p *parser, failed map[string]bool) { p.checkCombinations(&s, failed) })
	return s, errs
}

// parse sets the fields from the content of a file and returns its faults in the
// order of the lines. checkCombinations adds the faults between keys; failed holds
// the keys whose own value is missing or wrong, which it skips.
func parse(file string, data []byte, fields []field, checkCombinations func(p *parser, failed map[string]bool)) []error {
	p := &parser{file: file, sections: map[string]int{}, keys: map[string]entry{}}
	p.scan(string(data), fields)
	failed := map[string]bool{}
	for _, f := range fields {
		section, key, _ := strings.Cut(f.name, ".")
		e, ok := p.keys[f.name]
		switch {
		case !ok && f.required:
			line := max(p.sections[section], 1)
			p.addFault(line, section, key, "missing; this key is required")
			failed[f.name] = true
			continue
		case !ok && f.defaultValue == "":
			continue
		case !ok:
			e = entry{value: f.defaultValue}
		}
		if err := f.set(e.value); err != nil {
			p.addFault(e.line, section, key, err.Error())
			failed[f.name] = true
		}
	}
	checkCombinations(p, failed)
	slices.SortStableFunc(p.errs, func(a, b *Error) int { return a.Line - b.Line })
	errs := make([]error, len(p.errs))
	for i, e := range p.errs {
		errs[i] = e
	}
	return errs
}

// checkCombinations fills in the defaults that follow from another key and reports
// keys that contradict each other. It skips the keys in failed.
func (p *parser) checkCombinations(s *Settings, failed map[string]bool) {
	instance := &s.Instance
	if instance.PeerListen == "" && !failed["instance.peer_listen"] {
		instance.PeerListen = instance.PeerAddress
	}
	if instance.CallerListen == "" && !failed["instance.caller_listen"] {
		instance.CallerListen = instance.CallerAddress
	}
	conflict := func(found bool, message string, names ...string) {
		if !found || slices.ContainsFunc(names, func(n string) bool { return failed[n] }) {
			return
		}
		for _, n := range names {
			// At least one of the keys is in the file, since defaults do not conflict.
			if e, ok := p.keys[n]; ok {
				section, key, _ := strings.Cut(n, ".")
				p.addFault(e.line, section, key, message)
				return
			}
		}
	}
	conflict(s.Limits.DefaultDeadline > s.Limits.MaxDeadline,
		fmt.Sprintf("conflict: default_deadline %v is longer than max_deadline %v", s.Limits.DefaultDeadline, s.Limits.MaxDeadline),
		"limits.default_deadline", "limits.max_deadline")
	conflict(instance.PeerAddress != "" && instance.PeerAddress == instance.CallerAddress,
		fmt.Sprintf("conflict: peer_address and caller_address are both %s", instance.PeerAddress),
		"instance.caller_address", "instance.peer_address")
	// Without listen keys, only equal advertised addresses conflict, which is
	// reported above.
	listenKeySet := p.has("instance.peer_listen") || p.has("instance.caller_listen")
	conflict(listenKeySet && listenOverlap(instance.PeerListen, instance.CallerListen),
		fmt.Sprintf("conflict: peer_listen %s and caller_listen %s use the same port", instance.PeerListen, instance.CallerListen),
		"instance.caller_listen", "instance.peer_listen")
	conflict(instance.PeerAddress != "" && instance.PeerAddress == s.Platform.Address,
		"conflict: address is this instance's own peer_address", "platform.address", "instance.peer_address")
	conflict(instance.CallerAddress != "" && instance.CallerAddress == s.Platform.Address,
		"conflict: address is this instance's own caller_address", "platform.address", "instance.caller_address")
}

// listenOverlap reports whether two listen addresses cannot be used together.
func listenOverlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}
