package control

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"

	"github.com/zeebo/errs"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/platform"
	"github.com/baobabsill/baobabsill/internal/state"
)

// Kinds of the shared objects. Readers create the target views and share them
// among the instances only; the others are objects of the platform.
const (
	kindConfig    = "config"
	kindShardMap  = "shardmap"
	kindPlacement = "placement"
	kindInstance  = "instance"
	kindTargets   = "targets"

	// platformKinds are the kinds that a reader watches in one call.
	platformKinds = kindConfig + "," + kindShardMap + "," + kindPlacement + "," + kindInstance
)

// InstanceRecord is the value of the object instance/<name>.
type InstanceRecord struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	Zone          string `json:"zone"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	State         string `json:"state"`
}

var errDecode = errs.Class("control: object not decoded")

// decodeConfig decodes a configuration. It rejects unknown fields and trailing
// data, so that a document of a newer or broken tool is not applied in part.
func decodeConfig(value []byte) (declare.Document, error) {
	var d declare.Document
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return d, errDecode.Wrap(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return d, errDecode.New("data after the document")
	}
	if d.Name == "" {
		return d, errDecode.New("the document has no name")
	}
	return d, nil
}

// snapshotChange returns the update of the Snapshot that publishes an object,
// or an error if the value cannot be decoded. The update is nil for an object
// that is not part of the Snapshot.
func snapshotChange(o platform.Object) (func(next *state.Snapshot), error) {
	switch o.Kind {
	case kindConfig:
		if o.Name != "main" {
			return nil, nil
		}
		if o.Deleted {
			return nil, errDecode.New("the configuration was deleted; the last one stays in force")
		}
		d, err := decodeConfig(o.Value)
		if err != nil {
			return nil, err
		}
		return func(next *state.Snapshot) { next.Config, next.ConfigVersion = d, o.Version }, nil
	case kindShardMap:
		var m state.ShardMap
		if !o.Deleted {
			if err := json.Unmarshal(o.Value, &m); err != nil {
				return nil, errDecode.Wrap(err)
			}
		}
		m.Version = o.Version
		return func(next *state.Snapshot) { next.ShardMaps = withEntry(next.ShardMaps, o.Name, m, o.Deleted) }, nil
	case kindPlacement:
		var p state.Placement
		if !o.Deleted {
			if err := json.Unmarshal(o.Value, &p); err != nil {
				return nil, errDecode.Wrap(err)
			}
		}
		p.Epoch, p.Zone = o.Version, o.Name
		return func(next *state.Snapshot) { next.Placements = withEntry(next.Placements, o.Name, p, o.Deleted) }, nil
	case kindInstance, kindTargets:
		if !o.Deleted && !json.Valid(o.Value) {
			return nil, errDecode.New("invalid JSON")
		}
	}
	return nil, nil
}

// withEntry returns a copy of m in which the key is set to value or deleted.
func withEntry[V any](m map[string]V, key string, value V, deleted bool) map[string]V {
	next := make(map[string]V, len(m)+1)
	maps.Copy(next, m)
	if deleted {
		delete(next, key)
	} else {
		next[key] = value
	}
	return next
}
