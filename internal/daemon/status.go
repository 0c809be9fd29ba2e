package daemon

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobabsill/baobabsill/internal/control"
	"github.com/baobabsill/baobabsill/internal/state"
	"github.com/baobabsill/baobabsill/internal/status"
)

// Status returns what this instance knows of itself, the other instances, the zones
// and the targets. Instances and targets are sorted by name.
func (d *Daemon) Status() status.Document {
	snap := d.store.Load()
	return status.Document{
		Instance: d.self.Name, Incarnation: d.self.Incarnation, Zone: d.self.Zone,
		State: d.servingState(), CutOff: d.freshness.CutOff(),
		PlatformReachable: d.platform.Reachable(), ConfigVersion: snap.ConfigVersion,
		Instances: statusInstances(snap), Zones: statusZones(snap), Targets: d.statusTargets(snap),
	}
}

// servingState is the state that the load balancer sees. A member of the placement
// counts as starting until the instance is ready, see becomeReady.
func (d *Daemon) servingState() string {
	if s := d.membership.State(); s != control.StateReady || d.ready.Load() {
		return s
	}
	return control.StateStarting
}

func statusInstances(snap *state.Snapshot) []status.Instance {
	instances := []status.Instance{}
	for _, i := range snap.Instances {
		instances = append(instances, status.Instance{
			Name: i.Name, Zone: i.Zone, Liveness: string(i.Liveness),
			ConfigVersion: i.ConfigVersion, CallerAddress: i.CallerAddress,
		})
	}
	slices.SortFunc(instances, func(a, b status.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return instances
}

func statusZones(snap *state.Snapshot) []status.Zone {
	zones := []status.Zone{}
	for _, z := range snap.Config.Zones {
		p := snap.Placements[z.Name]
		zones = append(zones, status.Zone{Name: z.Name, Out: z.Out, PlacementEpoch: p.Epoch, Members: p.Members})
	}
	return zones
}

func (d *Daemon) statusTargets(snap *state.Snapshot) []status.Target {
	loads := maps.Clone(snap.Loads)
	for _, l := range d.pool.Loads() {
		loads[l.Target] = l
	}
	targets := []status.Target{}
	for _, t := range snap.Targets {
		l := loads[t.Name]
		phase := string(l.Phase)
		if snap.IsLeaving(t) {
			phase = string(state.PhaseLeaving)
		}
		targets = append(targets, status.Target{
			Name: t.Name, Service: t.Service, Zone: t.Zone, Holder: d.route(snap, t.Name),
			Phase: phase, Limit: l.Limit, InFlight: l.InFlight, Queued: l.Queued,
		})
	}
	slices.SortFunc(targets, func(a, b status.Target) int { return cmp.Compare(a.Name, b.Name) })
	return targets
}
