package peer

import (
	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
	"github.com/baobabsill/baobabsill/internal/state"
)

// EncodeLoad converts a load to its wire message.
func EncodeLoad(l state.Load) *peerpb.TargetLoad {
	return &peerpb.TargetLoad{
		Target: l.Target, Phase: string(l.Phase), Limit: int32(l.Limit), InFlight: int32(l.InFlight),
		Queued: int32(l.Queued), LatencyMicros: l.LatencyMicros, Incarnation: l.Incarnation,
	}
}

// DecodeLoad converts a wire message to a load. A nil message gives the zero load.
func DecodeLoad(m *peerpb.TargetLoad) state.Load {
	return state.Load{
		Target: m.GetTarget(), Phase: state.Phase(m.GetPhase()), Limit: int(m.GetLimit()), InFlight: int(m.GetInFlight()),
		Queued: int(m.GetQueued()), LatencyMicros: m.GetLatencyMicros(), Incarnation: m.GetIncarnation(),
	}
}

// EncodeLoads converts loads to wire messages.
func EncodeLoads(loads []state.Load) []*peerpb.TargetLoad {
	out := make([]*peerpb.TargetLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, EncodeLoad(l))
	}
	return out
}

// DecodeLoads converts wire messages to loads.
func DecodeLoads(messages []*peerpb.TargetLoad) []state.Load {
	out := make([]state.Load, 0, len(messages))
	for _, m := range messages {
		out = append(out, DecodeLoad(m))
	}
	return out
}
