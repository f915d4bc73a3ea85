// Package authenticator creates the keys of callers and operators, and checks
// the key of a request against the rules in force. Only hashes of keys are
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
	secretBytes  = 32 // 256 random bits in a key
	secretPrefix = "cfl-"
	hashPrefix   = "sha256:"
	scheme       = "Bearer "
)

var hashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// NewSecret creates the value of a new key from the system's random source. The
// value is shown once to the person who gets the key and is not stored.
func NewSecret() (string, error) {
	var b [secretBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Annotate(err, "reading random bytes")
	}
	return secretPrefix + base64.RawURLEncoding.EncodeToString(b[:]), nil
}

// Hash returns the hash of a key, the only form of the key in the rules.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// IsHash reports whether s has the form of a key's hash.
func IsHash(s string) bool {
	return hashPattern.MatchString(s)
}

// BearerToken returns the key in the request's Authorization header, or "" when
// there is none.
func BearerToken(h http.Header) string {
	value := h.Get("Authorization")
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(value[len(scheme):])
}
