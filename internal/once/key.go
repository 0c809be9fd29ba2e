package once

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// KeyLifetime is how long the outcome of a key can be settled. After it a
// record is removed, so a caller must not use a key of its own again.
const KeyLifetime = 24 * time.Hour

// MaxKeyBytes bounds a key, which becomes an object name at the platform.
const MaxKeyBytes = 200

const issuedPrefix = "k1"

// keyPunctuation are the characters that a key may have beside letters and
// digits.
const keyPunctuation = "._-:~@+="

// IssuedKey names the only process that may send the request of the key.
type IssuedKey struct {
	Instance    string
	Incarnation string
	IssuedAt    time.Time
	Nonce       string
}

// String returns the key as callers see it.
func (k IssuedKey) String() string {
	return strings.Join([]string{
		issuedPrefix, k.Instance, k.Incarnation,
		strconv.FormatInt(k.IssuedAt.UnixMilli(), 10), k.Nonce,
	}, "~")
}

// home identifies the process that issued the key.
func (k IssuedKey) home() string { return k.Instance + "." + k.Incarnation }

// parseIssuedKey reports false for a key that the caller chose.
func parseIssuedKey(key string) (IssuedKey, bool) {
	parts := strings.Split(key, "~")
	if len(parts) != 5 || parts[0] != issuedPrefix {
		return IssuedKey{}, false
	}
	ms, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return IssuedKey{}, false
	}
	return IssuedKey{
		Instance: parts[1], Incarnation: parts[2],
		IssuedAt: time.UnixMilli(ms), Nonce: parts[4],
	}, true
}

// CheckKey refuses keys that cannot be an object name.
func CheckKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("key must have 1 to %d bytes, has %d", MaxKeyBytes, len(key))
	}
	for _, r := range key {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' ||
			strings.ContainsRune(keyPunctuation, r)
		if !ok {
			return fmt.Errorf("key may only contain letters, digits and %s, not %q", keyPunctuation, r)
		}
	}
	return nil
}

func randomToken() string { return rand.Text() }
