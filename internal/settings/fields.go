package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// field describes one key of a settings file. set checks a value and stores it
// in the settings.
type field struct {
	name         string // "section.key"
	required     bool
	defaultValue string // empty if there is none or if it follows from another key
	set          func(value string) error
}

// settingsFields returns all keys of the settings file of `baobabsill run`.
// docs/CONFIGURATION.md lists the same keys.
func settingsFields(s *Settings) []field {
	return []field{
		{"instance.name", true, "", name(&s.Instance.Name)},
		{"instance.zone", true, "", name(&s.Instance.Zone)},
		{"instance.peer_address", true, "", advertisedAddress(&s.Instance.PeerAddress)},
		{"instance.peer_listen", false, "", address(&s.Instance.PeerListen)},
		{"instance.caller_address", true, "", advertisedAddress(&s.Instance.CallerAddress)},
		{"instance.caller_listen", false, "", address(&s.Instance.CallerListen)},
		{"instance.seeds", false, "", advertisedAddresses(&s.Instance.Seeds)},
		{"platform.address", true, "", advertisedAddress(&s.Platform.Address)},
		{"platform.timeout", false, "500ms", duration(&s.Platform.Timeout, 10*time.Millisecond, 10*time.Second)},
		{"limits.max_in_flight", false, "256", integer(&s.Limits.MaxInFlight, 1, 100_000)},
		{"limits.max_body_bytes", false, "1MiB", size(&s.Limits.MaxBodyBytes, 1<<10, 64<<20)},
		{"limits.memory", false, "0", resource(size(&s.Limits.Memory, minMemory, maxMemory))},
		{"limits.descriptors", false, "0", resource(integer(&s.Limits.Descriptors, minDescriptors, maxDescriptors))},
		{"limits.default_deadline", false, "2s", duration(&s.Limits.DefaultDeadline, 10*time.Millisecond, 5*time.Minute)},
		{"limits.max_deadline", false, "30s", duration(&s.Limits.MaxDeadline, 10*time.Millisecond, 5*time.Minute)},
		{"shutdown.drain_delay", false, "1s", duration(&s.Shutdown.DrainDelay, 0, time.Minute)},
		{"shutdown.drain_timeout", false, "10s", duration(&s.Shutdown.DrainTimeout, 100*time.Millisecond, 10*time.Minute)},
		{"log.level", false, "info", oneOf(&s.Log.Level, "debug", "info", "warn", "error")},
		{"log.trace", false, "false", boolean(&s.Log.Trace)},
		{"policy.hedging", false, "quantile", oneOf(&s.Policy.Hedging, "quantile", "fixed", "off")},
		{"policy.replica_choice", false, "load", oneOf(&s.Policy.ReplicaChoice, "load", "round-robin")},
		{"policy.retries", false, "budget", oneOf(&s.Policy.Retries, "budget", "naive")},
	}
}

// Bounds of what a process may be said to have. A process with less cannot serve.
const (
	minMemory      = 48 << 20 // bytes
	maxMemory      = 1 << 40  // bytes
	minDescriptors = 64
	maxDescriptors = 1 << 20
)

// resource accepts 0, for a default, beside what set accepts.
func resource(set func(string) error) func(string) error {
	return func(v string) error {
		if v == "0" {
			return nil
		}
		return set(v)
	}
}

// namePattern is strict because names become parts of object names at the
// platform.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func name(dst *string) func(string) error {
	return func(v string) error {
		if !namePattern.MatchString(v) {
			return fmt.Errorf("bad name %q: want 1 to 63 of a-z, 0-9 and '-', no '-' at the ends", v)
		}
		*dst = v
		return nil
	}
}

func parseAddress(v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return a, fmt.Errorf("malformed IP:port %q: want for example 10.0.0.1:7000 or [fd00::1]:7000, not a host name", v)
	}
	if a.Port() == 0 {
		return a, fmt.Errorf("malformed IP:port %q: the port must be 1 to 65535", v)
	}
	return a, nil
}

func address(dst *string) func(string) error {
	return func(v string) error {
		a, err := parseAddress(v)
		if err == nil {
			*dst = a.String()
		}
		return err
	}
}

// advertisedAddress accepts an address that other processes connect to, which
// the unspecified IP cannot be.
func advertisedAddress(dst *string) func(string) error {
	return func(v string) error {
		a, err := parseAddress(v)
		if err != nil {
			return err
		}
		if a.Addr().IsUnspecified() {
			return fmt.Errorf("%q cannot be connected to: want the IP of one interface", v)
		}
		*dst = a.String()
		return nil
	}
}

func advertisedAddresses(dst *[]string) func(string) error {
	return func(v string) error {
		if v == "" {
			return nil
		}
		var list, faults []string
		for _, item := range strings.Split(v, ",") {
			var addr string
			err := advertisedAddress(&addr)(strings.TrimSpace(item))
			switch {
			case err != nil:
				faults = append(faults, err.Error())
			case slices.Contains(list, addr):
				faults = append(faults, addr+" is listed twice")
			default:
				list = append(list, addr)
			}
		}
		if faults != nil {
			return fmt.Errorf("%s", strings.Join(faults, "; "))
		}
		*dst = list
		return nil
	}
}

func duration(dst *time.Duration, low, high time.Duration) func(string) error {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("bad duration %q: want a number with the unit ms, s or m, such as 500ms", v)
		}
		if d < low || d > high {
			return fmt.Errorf("%v is out of range: want %v to %v", d, low, high)
		}
		*dst = d
		return nil
	}
}

func integer(dst *int, low, high int) func(string) error {
	return func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return fmt.Errorf("bad number %q: want a whole number without a unit", v)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is out of range: want %d to %d", n, low, high)
		}
		*dst = n
		return nil
	}
}

func size(dst *int64, low, high int64) func(string) error {
	return func(v string) error {
		digits, unit := v, int64(1)
		for suffix, factor := range map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "MB": 1_000_000} {
			if d, ok := strings.CutSuffix(v, suffix); ok {
				digits, unit = strings.TrimSpace(d), factor
			}
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil {
			return fmt.Errorf("bad size %q: want bytes, or a number with the unit KiB, MiB or MB", v)
		}
		// n is compared with high/unit because n*unit may overflow.
		if n < 0 || n > high/unit || n*unit < low {
			return fmt.Errorf("%s is out of range: want %d to %d bytes", v, low, high)
		}
		*dst = n * unit
		return nil
	}
}

func boolean(dst *bool) func(string) error {
	return func(v string) error {
		if v != "true" && v != "false" {
			return fmt.Errorf("bad value %q: want true or false", v)
		}
		*dst = v == "true"
		return nil
	}
}

func oneOf(dst *string, values ...string) func(string) error {
	return func(v string) error {
		if !slices.Contains(values, v) {
			return fmt.Errorf("bad value %q: want %s", v, strings.Join(values, ", "))
		}
		*dst = v
		return nil
	}
}
