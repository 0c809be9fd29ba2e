package state

import "testing"

// Guards against a writer altering a snapshot that a request already loaded.
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
