package control

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// digestOf hashes fields. The digest of a set is the sum of the hashes of its
// elements, so that it does not depend on their order.
func digestOf(fields ...string) uint64 {
	var b []byte
	for _, f := range fields {
		b = binary.AppendUvarint(b, uint64(len(f)))
		b = append(b, f...)
	}
	sum := sha256.Sum256(b)
	return binary.BigEndian.Uint64(sum[:])
}

// versionHash returns the share of one object in the digest of all versions. It
// is 0 for version 0, an object that is not known.
func versionHash(key objectKey, version int64) uint64 {
	if version == 0 {
		return 0
	}
	return digestOf(key.kind, key.name, strconv.FormatInt(version, 10))
}

// Versions returns the versions of all known objects.
func (s *Sync) Versions() []*peerpb.ObjectVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionsLocked()
}

func (s *Sync) versionsLocked() []*peerpb.ObjectVersion {
	out := make([]*peerpb.ObjectVersion, 0, len(s.objects))
	for key, o := range s.objects {
		out = append(out, &peerpb.ObjectVersion{Kind: key.kind, Name: key.name, Version: o.Version})
	}
	return out
}

// VersionsIfDifferent returns the digest of all known versions, and the versions
// themselves unless the peer has the same digest.
func (s *Sync) VersionsIfDifferent(peerDigest uint64) ([]*peerpb.ObjectVersion, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versionsDigest == peerDigest {
		return nil, s.versionsDigest
	}
	return s.versionsLocked(), s.versionsDigest
}

// ObserveVersions compares the versions that a peer has with the local ones. If the
// peer has newer ones, or sent only a digest that differs from the local one,
// it has Run fetch them and returns true.
func (s *Sync) ObserveVersions(address string, versions []*peerpb.ObjectVersion, digest uint64) (isBehind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if digest == s.versionsDigest && digest != 0 {
		return false
	}
	isBehind = len(versions) == 0 && digest != 0
	for _, v := range versions {
		key := objectKey{v.Kind, v.Name}
		if v.Version > max(s.objects[key].Version, s.rejected[key]) {
			isBehind = true
			break
		}
	}
	if isBehind {
		s.peersAhead[address] = true
		signal(s.fetchDue)
	}
	return isBehind
}
