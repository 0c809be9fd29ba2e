package follow

import "testing"

// After an outage of the store, entries lapse and are written again, so that one answer to
// a watch deletes an object and creates it again. Guards against a mirror that loses it:
// the instances that ask this one would not see the object until it changes, while this
// one has it.
func TestMirrorAppliesChangesInOrder(t *testing.T) {
	var m mirror
	m.replace([]RawObject{{Name: "a", Revision: 1}, {Name: "b", Revision: 1}}, Revision{Number: 1})
	m.advance([]rawChange{
		{RawObject{Name: "a"}, true}, {RawObject{Name: "a", Revision: 3}, false},
		{RawObject{Name: "b", Revision: 4}, false}, {RawObject{Name: "b"}, true},
		{RawObject{Name: "c", Revision: 6}, false}, {RawObject{Name: "c"}, true}, {RawObject{Name: "c", Revision: 8}, false},
	}, Revision{Number: 8})
	l, _ := m.ListingSince(Revision{})
	got := map[string]int64{}
	for _, o := range l.Objects {
		got[o.Name] = o.Revision
	}
	if len(got) != 2 || got["a"] != 3 || got["c"] != 8 {
		t.Errorf("%v, want a at 3 and c at 8", got)
	}
}
