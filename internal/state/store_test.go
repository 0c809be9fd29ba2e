package state

import "testing"

// Guards against an update that alters the snapshot that a request has loaded.
// This happens if Update changes the current snapshot instead of a copy.
func TestUpdateLeavesLoadedSnapshotAlone(t *testing.T) {
	s := NewStore()
	before, changed := s.Load(), s.Changed()
	s.Update(func(next *Snapshot) { next.ConfigVersion = 7 })
	if before.ConfigVersion != 0 || s.Load().ConfigVersion != 7 {
		t.Fatalf("before %d, after %d", before.ConfigVersion, s.Load().ConfigVersion)
	}
	select {
	case <-changed:
	default:
		t.Fatal("Update did not signal the change")
	}
}
