package control

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/baobabsill/baobabsill/internal/peer/peerpb"
)

// digestOf hashes fields. Digests of sets are sums of such hashes, so that
// they do not depend on an order.
func digestOf(fields ...string) uint64 {
	var b []byte
	for _, f := range fields {
		b = binary.AppendUvarint(b, uint64(len(f)))
		b = append(b, f...)
	}
	sum := sha256.Sum256(b)
	return binary.BigEndian.Uint64(sum[:])
}

// versionHash is 0 for an object that is not known.
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
	return s.versions()
}

func (s *Sync) versions() []*peerpb.ObjectVersion {
	out := make([]*peerpb.ObjectVersion, 0, len(s.objects))
	for key, o := range s.objects {
		out = append(out, &peerpb.ObjectVersion{Kind: key.kind, Name: key.name, Version: o.Version})
	}
	return out
}

// VersionsUnless returns the digest of all known versions, and the versions
// themselves unless their digest is the one that the peer has.
func (s *Sync) VersionsUnless(peerHas uint64) ([]*peerpb.ObjectVersion, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digest == peerHas {
		return nil, s.digest
	}
	return s.versions(), s.digest
}

// Observe compares the versions that a peer knows with the local ones. If the
// peer knows newer ones, or sent no list with a digest that is not the local
// one, it has Run fetch them and returns true.
func (s *Sync) Observe(address string, versions []*peerpb.ObjectVersion, digest uint64) (isBehind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if digest == s.digest && digest != 0 {
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
		s.behind[address] = true
		signal(s.wake)
	}
	return isBehind
}
