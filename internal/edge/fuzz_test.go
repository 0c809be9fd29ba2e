package edge

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// Guards against messages of other instances that make the process panic, or that are
// accepted with values out of range.
func FuzzGatherRequest(f *testing.F) {
	for _, m := range []*peerpb.GatherRequest{gatherMessage("s", "t"), {Within: -1 << 63, ReplyWithin: 1<<63 - 1}, {Shards: []string{"", "s"}, TopK: -1}} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerpb.GatherRequest
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		req := decodeGather(&m)
		if req.Validate() == nil && (req.Within <= 0 || req.ReplyWithin > req.Within || req.Route.TopK < 0) {
			t.Errorf("accepted %+v", req)
		}
		if again := decodeGather(encodeGather(req)); again.Call != req.Call || again.Query.URI != req.Query.URI {
			t.Errorf("%+v became %+v", req, again)
		}
	})
}

func FuzzGatherReply(f *testing.F) {
	data, err := proto.Marshal(&peerpb.GatherReply{
		Answered: []*peerpb.GatheredShard{{Shard: -1, Signature: []byte("a,b")}}, Missing: []*peerpb.MissingShard{{Shard: 1 << 30}}, Records: []byte("x"), Took: -1 << 63,
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m peerpb.GatherReply
		if proto.Unmarshal(data, &m) == nil {
			decodeGatherReply(&m)
		}
	})
}
