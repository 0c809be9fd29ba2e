package settings

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Edge holds the checked settings of an instance that `baobabsill edge` runs. They
// are not changed after LoadEdge.
type Edge struct {
	Name   string
	Zone   string
	Region string
	// Zones maps each availability zone of the deployment to its region.
	Zones map[string]string
	// Listen addresses, IP:port. PeerListen is also the address that other
	// instances connect to.
	CallerListen, ReadyListen, MetricsListen, PeerListen string
	// Seeds are peer addresses that are used along with those of the registered
	// instances, and alone until the list of these is known.
	Seeds []string
	// FirstStart is set if all instances of the deployment start for the first time.
	FirstStart bool

	PlatformAddress string
	// Contact is the time within which the instance has to be up to date again
	// after an outage or another disturbance of the platform.
	Contact time.Duration
	// Heartbeat is the interval between two reports of a replica.
	Heartbeat time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration

	MaxInFlight int
	// Memory and Descriptors are what the process has. Zero means a default.
	Memory      int64 // bytes
	Descriptors int
	// CPUShare is the share of the time of a core that this instance has, and CPUSpeed
	// the speed of that core relative to a usual one.
	CPUShare, CPUSpeed float64
	// RetryRatio and RetrySlack are the retry budget of a service over all
	// instances: repeats per request, and further repeats in any RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ColdOverage and ColdSlack bound the requests that all instances together
	// send to a cold replica in any second: ColdOverage times the rate that the
	// replica allows, plus ColdSlack requests.
	ColdOverage, ColdSlack float64

	LogLevel string
}

func edgeFields(s *Edge) []field {
	return []field{
		{"instance.name", true, "", name(&s.Name)},
		{"instance.zone", true, "", name(&s.Zone)},
		{"instance.region", true, "", name(&s.Region)},
		{"instance.zones", true, "", zoneMap(&s.Zones)},
		{"instance.caller_listen", true, "", address(&s.CallerListen)},
		{"instance.ready_listen", true, "", address(&s.ReadyListen)},
		{"instance.metrics_listen", true, "", address(&s.MetricsListen)},
		{"instance.peer_listen", true, "", advertisedAddress(&s.PeerListen)},
		{"instance.seeds", false, "", advertisedAddresses(&s.Seeds)},
		{"instance.first_start", false, "false", boolean(&s.FirstStart)},
		{"platform.address", true, "", advertisedAddress(&s.PlatformAddress)},
		{"platform.contact", false, "5s", duration(&s.Contact, 500*time.Millisecond, 10*time.Minute)},
		{"platform.heartbeat", false, "1s", duration(&s.Heartbeat, 10*time.Millisecond, 10*time.Minute)},
		{"shutdown.grace", false, "6s", duration(&s.Grace, 100*time.Millisecond, 10*time.Minute)},
		{"limits.max_in_flight", false, "256", integer(&s.MaxInFlight, 1, 100_000)},
		{"limits.memory", false, "0", resource(size(&s.Memory, minMemory, maxMemory))},
		{"limits.descriptors", false, "0", resource(integer(&s.Descriptors, minDescriptors, maxDescriptors))},
		{"limits.cpu_share", false, "0.2", float(&s.CPUShare, 0, 1000)},
		{"limits.cpu_speed", false, "1", float(&s.CPUSpeed, 0, 1000)},
		{"retry.ratio", false, "0.2", float(&s.RetryRatio, 0, 10)},
		{"retry.slack", false, "10", float(&s.RetrySlack, 0, 1_000_000)},
		{"retry.window", false, "10s", duration(&s.RetryWindow, time.Second, time.Hour)},
		{"cold.overage", false, "1", float(&s.ColdOverage, 0, 100)},
		{"cold.slack", false, "0", float(&s.ColdSlack, 0, 1_000_000)},
		{"log.level", false, "info", oneOf(&s.LogLevel, "debug", "info", "warn", "error")},
	}
}

// LoadEdge reads and checks the settings of `baobabsill edge`. It returns every
// fault in the order of the lines; the settings are usable only without faults.
func LoadEdge(path string) (Edge, []error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, []error{err}
	}
	return ParseEdge(path, data)
}

// ParseEdge is LoadEdge for the content of a file; errors name it file.
func ParseEdge(file string, data []byte) (Edge, []error) {
	var s Edge
	errs := parse(file, data, edgeFields(&s), func(p *parser, failed map[string]bool) {
		if failed["instance.zone"] || failed["instance.zones"] {
			return
		}
		if region, known := s.Zones[s.Zone]; !known || region != s.Region && !failed["instance.region"] {
			p.addFault(p.keys["instance.zone"].line, "instance", "zone",
				fmt.Sprintf("conflict: zones does not list %s in region %s", s.Zone, s.Region))
		}
	})
	return s, errs
}

func zoneMap(dst *map[string]string) func(string) error {
	return func(v string) error {
		zones := map[string]string{}
		for _, item := range strings.Split(v, ",") {
			zone, region, ok := strings.Cut(strings.TrimSpace(item), ":")
			if !ok || !namePattern.MatchString(zone) || !namePattern.MatchString(region) {
				return fmt.Errorf("bad zone %q: want ZONE:REGION, separated by commas", item)
			}
			zones[zone] = region
		}
		*dst = zones
		return nil
	}
}

func float(dst *float64, low, high float64) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return fmt.Errorf("bad number %q: want a number without a unit, such as 0.2", v)
		}
		if n < low || n > high || n != n {
			return fmt.Errorf("%s is out of range: want %v to %v", v, low, high)
		}
		*dst = n
		return nil
	}
}
