// Package harness starts whole deployments of baobabsill as processes on
// loopback and sends load to them, for the demo, the bench and the tests over
// real processes.
package harness

import (
	"fmt"
	"strings"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/state"
	"github.com/baobabsill/baobabsill/standin/target"
)

// Topology describes a deployment: its configuration, the number of instances,
// the network delays and the behaviour of the stand-ins.
type Topology struct {
	Document declare.Document
	// Instances gives the number of instances per zone, in the order of the zones.
	Instances []int
	// ZoneDelayMS (between zones) and ClientDelayMS (between callers and
	// instances) are one-way delays; up to ZoneJitterMS is added to the former.
	ZoneDelayMS   float64
	ZoneJitterMS  float64
	ClientDelayMS float64
	// ListLagMS is the age of the instance list that the platform shows.
	ListLagMS int
	// Behaviour returns the behaviour of the targets of a service.
	Behaviour func(declare.Service) target.Behaviour
	// ItemsPerShard is the number of items that each shard finds. It is at least
	// 1, so that the items of an answer show which shards answered.
	ItemsPerShard int
	Seed          uint64
	// Settings are added to the settings file of every instance: section, key, value.
	Settings map[string]map[string]string
}

// DefaultBehaviour returns a median service time of 4 ms, 1% of stragglers that
// take 15 times as long, pauses of 40 ms about every 20 s, and cold starts that
// end after 6 answers.
func DefaultBehaviour(s declare.Service) target.Behaviour {
	// Section 1.6 of the design page: the small services, here those with more than
	// two replicas, accept more connections and accept them faster.
	connect := 6.0
	if s.Replicas > 2 {
		connect = 1
	}
	return target.Behaviour{
		Slots: s.Slots, BearsCold: s.BearsCold, Connections: s.Connections, ConnectMS: connect,
		ServiceMS: 4, Sigma: 0.3, StragglerShare: 0.01, StragglerFactor: 15,
		PauseMS: 40, PauseEveryMS: 20000,
		ColdRequests: 6, ColdFactor: 2, OverloadMS: 500,
	}
}

// ZonePrefix returns the prefix of the loopback addresses of the zone with an
// index.
func ZonePrefix(index int) string { return fmt.Sprintf("127.0.%d.", index+1) }

// ShardOf returns the identifier of the shard of a search that a service holds.
func ShardOf(search, service string) string { return search + "." + service }

// ShardMap returns the shard map of a search for the given snapshots, oldest
// first. Each snapshot has one shard per service.
func ShardMap(s declare.Search, snapshots ...string) state.ShardMap {
	var m state.ShardMap
	for _, id := range snapshots {
		index := state.IndexSnapshot{ID: id}
		for i, service := range s.Services {
			shard := state.Shard{ID: ShardOf(s.Name, service), Service: service}
			if i > 0 {
				shard.From = fmt.Sprintf("%03d", i)
			}
			if i < len(s.Services)-1 {
				shard.To = fmt.Sprintf("%03d", i+1)
			}
			index.Shards = append(index.Shards, shard)
		}
		m.Snapshots = append(m.Snapshots, index)
	}
	return m
}

// Snapshot returns the shards of an index snapshot that the targets of a service
// hold.
func (t *Topology) Snapshot(service, id string) target.Snapshot {
	s := target.Snapshot{ID: id, Shards: map[string]int{}}
	for _, search := range t.Document.Searches {
		for _, name := range search.Services {
			if name == service {
				s.Shards[ShardOf(search.Name, name)] = t.ItemsPerShard
			}
		}
	}
	return s
}

// Zones returns the specification of the targets of each zone. The replicas of a
// service are spread over the zones, so that two of them share a zone only if
// there are more replicas than zones.
func (t *Topology) Zones(platform, snapshot string) []target.ZoneSpec {
	var zones []target.ZoneSpec
	for i, z := range t.Document.Zones {
		zones = append(zones, target.ZoneSpec{
			Zone: z.Name, Platform: "http://" + platform, AdminListen: ZonePrefix(i) + "250:0",
		})
	}
	for i, s := range t.Document.Services {
		for r := range s.Replicas {
			b := t.Behaviour(s)
			b.Seed = t.Seed + uint64(i*100+r)
			zone := (i + r) % len(zones)
			zones[zone].Targets = append(zones[zone].Targets, target.Spec{
				Service: s.Name, Name: fmt.Sprintf("%s-r%d", s.Name, r+1),
				Listen: ZonePrefix(zone) + "200:0", Behaviour: b,
				Snapshots: []target.Snapshot{t.Snapshot(s.Name, snapshot)},
			})
		}
	}
	return zones
}

// Instance is one instance of baobabsill with its addresses. Other instances
// connect to Peer, where the link stand-in listens and forwards to PeerListen.
type Instance struct {
	Name, Zone                  string
	Peer, PeerListen            string
	CallerAddress, CallerListen string
}

// settingsFile returns the content of the settings file (INI) of an instance.
func (t *Topology) settingsFile(self Instance, all []Instance, platform string) string {
	var seeds []string
	for _, i := range all {
		if i.Name != self.Name {
			seeds = append(seeds, i.Peer)
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nname = %s\nzone = %s\npeer_address = %s\npeer_listen = %s\n", self.Name, self.Zone, self.Peer, self.PeerListen)
	fmt.Fprintf(&b, "caller_address = %s\ncaller_listen = %s\nseeds = %s\n", self.CallerAddress, self.CallerListen, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "\n[platform]\naddress = %s\n", platform)
	for section, keys := range t.Settings {
		fmt.Fprintf(&b, "\n[%s]\n", section)
		for key, value := range keys {
			fmt.Fprintf(&b, "%s = %s\n", key, value)
		}
	}
	return b.String()
}
