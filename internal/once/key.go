package once

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// KeyLifetime is how long the outcome of a key can be looked up. Its record is
// deleted afterwards, so a caller must not reuse a key that it chose: the
// request would run a second time.
const KeyLifetime = 24 * time.Hour

// MaxKeyBytes limits the length of a key, which is used as an object name at
// the platform.
const MaxKeyBytes = 200

// issuedPrefix is the first part of an issued key and marks its format.
const issuedPrefix = "k1"

// keyPunctuation lists the characters allowed in a key besides letters and
// digits.
const keyPunctuation = "._-:~@+="

// IssuedKey is the parsed form of a key that a process issued. Instance and
// Incarnation identify that process; while it runs, no other process may send
// the request.
type IssuedKey struct {
	Instance    string
	Incarnation string
	IssuedAt    time.Time
	Nonce       string
}

// String returns the key in the form that callers get.
func (k IssuedKey) String() string {
	return strings.Join([]string{
		issuedPrefix, k.Instance, k.Incarnation,
		strconv.FormatInt(k.IssuedAt.UnixMilli(), 10), k.Nonce,
	}, "~")
}

// closingObjectName returns the name of the closing object of the process that
// issued the key.
func (k IssuedKey) closingObjectName() string { return k.Instance + "." + k.Incarnation }

// parseIssuedKey returns false for a key that the caller chose.
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

// CheckKey returns an error if the key cannot be used as an object name.
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
