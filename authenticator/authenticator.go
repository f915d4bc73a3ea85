package authenticator

import (
	"crypto/subtle"
	"sync/atomic"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

type (
	// Authenticator checks the keys of callers and operators against the rules.
	// It caches an index of the keys of the rules used last. The zero value is
	// ready to use; its methods may be called concurrently.
	Authenticator struct {
		lastIndex atomic.Pointer[keyIndex]
	}

	// keyIndex finds the keys of one version of the rules by their hash.
	keyIndex struct {
		rules *parser.Rules
		keys  map[string]parser.Key // by hash
	}
)

// Check returns the key of the rules whose value is the secret. It looks up a
// hash of the secret, so that its running time reveals nothing about the keys
// in force. Without rules it fails with code Unready, otherwise with
// Unauthorized.
func (a *Authenticator) Check(rules *parser.Rules, secret string) (parser.Key, error) {
	if secret == "" {
		return parser.Key{}, classifier.Refuse(classifier.Unauthorized, "no key: send the header Authorization: Bearer KEY")
	}
	if rules == nil {
		return parser.Key{}, classifier.Refuse(classifier.Unready, "no rules are known yet: try again or ask another entry")
	}
	hash := Hash(secret)
	key, ok := a.indexFor(rules).keys[hash]
	if !ok || !constantTimeEqual(key.Hash, hash) {
		return parser.Key{}, classifier.Refuse(classifier.Unauthorized, "the key is unknown or has been withdrawn: ask an operator for a new one")
	}
	return key, nil
}

// CheckOperator returns the operator key whose value is the secret. For a
// team's key it fails with code Forbidden.
func (a *Authenticator) CheckOperator(rules *parser.Rules, secret string) (parser.Key, error) {
	key, err := a.Check(rules, secret)
	if err != nil {
		return parser.Key{}, err
	}
	if !key.Operator {
		return parser.Key{}, classifier.Refuse(classifier.Forbidden, "key %q belongs to team %q: use an operator key", key.ID, key.Team)
	}
	return key, nil
}

// indexFor returns the index of the rules' keys. Rules are immutable, so the
// cached index is valid if it was built from the same pointer.
func (a *Authenticator) indexFor(rules *parser.Rules) *keyIndex {
	if last := a.lastIndex.Load(); last != nil && last.rules == rules {
		return last
	}
	next := &keyIndex{rules: rules, keys: make(map[string]parser.Key, len(rules.Keys))}
	for _, key := range rules.Keys {
		next.keys[key.Hash] = key
	}
	a.lastIndex.Store(next)
	return next
}

// Matches reports whether the secret has the hash. The comparison takes
// constant time.
func Matches(hash, secret string) bool {
	return secret != "" && constantTimeEqual(hash, Hash(secret))
}

// constantTimeEqual compares two strings in a time that does not depend on
// their contents.
func constantTimeEqual(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
