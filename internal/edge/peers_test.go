package edge

import (
	"testing"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Guards against more than one reader in a zone, which would cost calls to the
// store, and against an instance that neither reads itself nor has a reader to ask.
func TestOneInstanceOfEachZoneReads(t *testing.T) {
	store := catalog.NewStore(0)
	store.SetInstances(map[string]catalog.Instance{
		"a1": {Address: "a1", Zone: "a"}, "a2": {Address: "a2", Zone: "a"}, "a3": {Address: "a3", Zone: "a"},
		"b1": {Address: "b1", Zone: "b"}, "b2": {Address: "b2", Zone: "b"}, "new": {},
	})
	for _, c := range []struct {
		name, zone, wantFirst string
		wantCount             int
	}{
		{"a1", "a", "", 0}, {"a2", "a", "a1", 2}, {"a3", "a", "a1", 2}, {"b1", "b", "", 0}, {"b2", "b", "b1", 2},
		{"new", "a", "a1", 2}, {"new", "b", "b1", 2}, {"c1", "c", "", 2},
	} {
		p := &peers{name: c.name, zone: c.zone, ownAddress: c.name, catalog: store}
		readers := p.Readers()
		if len(readers) != c.wantCount || c.wantFirst != "" && readers[0] != c.wantFirst {
			t.Errorf("%s in zone %s asks %v, want %q first and %d in all", c.name, c.zone, readers, c.wantFirst, c.wantCount)
		}
	}
	alone := &peers{name: "x", zone: "x", ownAddress: "x", catalog: catalog.NewStore(0)}
	if readers := alone.Readers(); readers != nil {
		t.Errorf("an instance that knows no other one asks %v", readers)
	}
}
