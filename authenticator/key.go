// Package authenticator makes the keys that callers and operators show, and
// checks a shown key against the rules in force. Only hashes of keys are
// stored.
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"regexp"
	"strings"

	"github.com/juju/errors"
)

const (
	secretBytes  = 32 // 256 bits of randomness in a key
	secretPrefix = "cfl-"
	hashPrefix   = "sha256:"
	scheme       = "Bearer "
)

var hashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// NewSecret makes the value of a new key from the system's random source. It
// is shown to its bearer once and stored nowhere.
func NewSecret() (string, error) {
	var b [secretBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Annotate(err, "reading random bytes")
	}
	return secretPrefix + base64.RawURLEncoding.EncodeToString(b[:]), nil
}

// Hash returns the form of a key that the rules hold.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// IsHash tells the hash of a key from a key.
func IsHash(s string) bool {
	return hashPattern.MatchString(s)
}

// BearerToken returns the key that a request shows in its Authorization header, or
// "" when it shows none.
func BearerToken(h http.Header) string {
	value := h.Get("Authorization")
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(value[len(scheme):])
}
