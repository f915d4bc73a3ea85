// Package distributor keeps the rules the same in every entry. The rules are a
// sequence of numbered changes in the key-value service; a change is committed
// by creating its record. Every entry watches the sequence, applies it strictly
// in order and reports the number of its rules in heartbeats. An entry that
// missed a change, or started while the service was down, therefore gets the
// change from a peer.
package distributor

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// ErrInvalid reports a stored change or snapshot that is malformed or does not
// match its digest.
const ErrInvalid = errors.ConstError("invalid rules record")

type (
	// Change is one committed step from a version of the rules to the next.
	Change struct {
		Number      uint64              `json:"number"` // number of the rules that it leads to
		Op          string              `json:"op"`     // identity of the write
		Who         string              `json:"who"`    // key of the operator who requested the change
		When        time.Time           `json:"when"`   // by the clock of the entry that accepted the change
		Differences []parser.Difference `json:"differences"`
		Digest      string              `json:"digest"` // digest of the rules that it leads to
	}

	// Snapshot is a complete set of rules.
	Snapshot struct {
		Number uint64 `json:"number"`
		Text   string `json:"text"` // rules file in canonical form
		Digest string `json:"digest"`
	}
)

// DecodeChange decodes a stored change and checks that its fields are set.
func DecodeChange(value []byte) (Change, error) {
	c, err := keeper.Decode[Change](existingRecord(value))
	if err != nil {
		return Change{}, errors.Annotatef(ErrInvalid, "%v", err)
	}
	if c.Number == 0 || c.Op == "" || c.Digest == "" || len(c.Differences) == 0 {
		return Change{}, errors.Annotate(ErrInvalid, "a change lacks its number, operation, digest or differences")
	}
	return c, nil
}

// Rules parses the snapshot's text and checks it against the digest.
func (s Snapshot) Rules() (*parser.Rules, error) {
	rules, err := parser.Parse("snapshot", strings.NewReader(s.Text))
	if err != nil {
		return nil, errors.Annotatef(ErrInvalid, "%v", err)
	}
	rules = parser.Sorted(rules)
	if rulesDigest(rules) != s.Digest {
		return nil, errors.Annotatef(ErrInvalid, "snapshot %d has another digest", s.Number)
	}
	rules.Number = s.Number
	return rules, nil
}

// applyTo returns the rules that result from the change, and checks their
// digest.
func (c Change) applyTo(rules *parser.Rules) (*parser.Rules, error) {
	next, err := parser.Patch(rules, c.Differences)
	if err != nil {
		return nil, errors.Annotatef(ErrInvalid, "change %d: %v", c.Number, err)
	}
	if rulesDigest(next) != c.Digest {
		return nil, errors.Annotatef(ErrInvalid, "change %d leads to another digest", c.Number)
	}
	next.Number = c.Number
	return next, nil
}

// snapshotOf returns a snapshot of the rules.
func snapshotOf(rules *parser.Rules) Snapshot {
	return Snapshot{Number: rules.Number, Text: string(parser.Format(rules)), Digest: rulesDigest(rules)}
}

// decodeSnapshot decodes a stored snapshot.
func decodeSnapshot(value []byte) (Snapshot, error) {
	s, err := keeper.Decode[Snapshot](existingRecord(value))
	if err != nil {
		return Snapshot{}, errors.Annotatef(ErrInvalid, "%v", err)
	}
	return s, nil
}

// existingRecord wraps the value of a record that exists, as keeper.Decode
// expects it.
func existingRecord(value []byte) keeper.Record {
	return keeper.Record{Value: value, Revision: 1}
}

// rulesDigest returns the SHA-256 of the rules in canonical form.
func rulesDigest(rules *parser.Rules) string {
	sum := sha256.Sum256(parser.Format(rules))
	return hex.EncodeToString(sum[:])
}

// changeKey returns the key of the change's record. The number has a fixed
// width, so that keys sort by number.
func changeKey(number uint64) string {
	return fmt.Sprintf("%s%012d", keeper.ChangePrefix, number)
}

// keyNumber returns the number in the key of a change, or 0 when the key has
// none.
func keyNumber(key string) uint64 {
	number, err := strconv.ParseUint(strings.TrimPrefix(key, keeper.ChangePrefix), 10, 64)
	if err != nil {
		return 0
	}
	return number
}
