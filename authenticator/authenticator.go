package authenticator

import (
	"crypto/subtle"
	"sync/atomic"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

type (
	// Authenticator checks keys against rules. It keeps an index of the last
	// rules that it saw. The zero value is ready; methods may be called at the
	// same time.
	Authenticator struct {
		lastIndex atomic.Pointer[keyIndex]
	}

	keyIndex struct {
		rules *parser.Rules
		keys  map[string]parser.Key // by hash
	}
)

// Check returns the key of the rules whose value is the secret. It looks up a
// hash of the secret, so its time tells nothing of the keys in force. Without
// rules it refuses with Unready, otherwise with Unauthorized.
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

// CheckOperator returns the operator key whose value is the secret. A team's
// key is refused with Forbidden.
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

// indexFor returns the keys of the rules by hash. Rules never change, so their
// address tells whether the last indexFor still holds.
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

// Matches reports in constant time whether the secret is the one of the hash.
func Matches(hash, secret string) bool {
	return secret != "" && constantTimeEqual(hash, Hash(secret))
}

func constantTimeEqual(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
