package edge

import (
	"testing"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Guards the store against more than one reader a zone, and instances against
// having nobody who reads for them.
func TestOneInstanceOfEachZoneReads(t *testing.T) {
	store := catalog.NewStore(0)
	store.SetDaemons(map[string]catalog.Daemon{
		"a1": {Address: "a1", Zone: "a"}, "a2": {Address: "a2", Zone: "a"}, "a3": {Address: "a3", Zone: "a"},
		"b1": {Address: "b1", Zone: "b"}, "b2": {Address: "b2", Zone: "b"}, "new": {},
	})
	for _, c := range []struct {
		name, zone, first string
		asked             int
	}{
		{"a1", "a", "", 0}, {"a2", "a", "a1", 2}, {"a3", "a", "a1", 2}, {"b1", "b", "", 0}, {"b2", "b", "b1", 2},
		{"new", "a", "a1", 2}, {"new", "b", "b1", 2}, {"c1", "c", "", 2},
	} {
		p := &peers{name: c.name, zone: c.zone, address: c.name, catalog: store}
		list := p.Readers()
		if len(list) != c.asked || c.first != "" && list[0] != c.first {
			t.Errorf("%s in zone %s asks %v, want %q and %d in all", c.name, c.zone, list, c.first, c.asked)
		}
	}
	alone := &peers{name: "x", zone: "x", address: "x", catalog: catalog.NewStore(0)}
	if list := alone.Readers(); list != nil {
		t.Errorf("an instance that knows no other asks %v", list)
	}
}
