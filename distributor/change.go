// Package distributor keeps the rules the same in every entry. Rules are a
// sequence of numbered changes in the key-value service; a change is committed
// by creating its record. Every entry watches the sequence, applies it
// strictly in order and tells its peers how far it got, so that an entry that
// missed a change, or started while the service is down, gets it from a peer.
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

// ErrInvalid reports a stored change or snapshot that cannot be right.
const ErrInvalid = errors.ConstError("invalid rules record")

type (
	// Change is one committed step from a rule set to the next.
	Change struct {
		Number      uint64              `json:"number"` // of the set that it leads to
		Op          string              `json:"op"`     // identity of the write
		Who         string              `json:"who"`    // operator key that asked
		When        time.Time           `json:"when"`   // by the clock of the accepting entry
		Differences []parser.Difference `json:"differences"`
		Digest      string              `json:"digest"` // of the set that it leads to
	}

	// Snapshot is a whole rule set.
	Snapshot struct {
		Number uint64 `json:"number"`
		Text   string `json:"text"` // canonical form
		Digest string `json:"digest"`
	}
)

// DecodeChange reads a stored change and checks its form.
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

// Rules reads the snapshot's text and checks it against its digest.
func (s Snapshot) Rules() (*parser.Rules, error) {
	rules, err := parser.Parse("snapshot", strings.NewReader(s.Text))
	if err != nil {
		return nil, errors.Annotatef(ErrInvalid, "%v", err)
	}
	rules = parser.Sorted(rules)
	if digest(rules) != s.Digest {
		return nil, errors.Annotatef(ErrInvalid, "snapshot %d has another digest", s.Number)
	}
	rules.Number = s.Number
	return rules, nil
}

// applyTo applies the change to the set before it.
func (c Change) applyTo(rules *parser.Rules) (*parser.Rules, error) {
	next, err := parser.Patch(rules, c.Differences)
	if err != nil {
		return nil, errors.Annotatef(ErrInvalid, "change %d: %v", c.Number, err)
	}
	if digest(next) != c.Digest {
		return nil, errors.Annotatef(ErrInvalid, "change %d leads to another digest", c.Number)
	}
	next.Number = c.Number
	return next, nil
}

func snapshotOf(rules *parser.Rules) Snapshot {
	return Snapshot{Number: rules.Number, Text: string(parser.Format(rules)), Digest: digest(rules)}
}

func decodeSnapshot(value []byte) (Snapshot, error) {
	s, err := keeper.Decode[Snapshot](existingRecord(value))
	if err != nil {
		return Snapshot{}, errors.Annotatef(ErrInvalid, "%v", err)
	}
	return s, nil
}

// existingRecord wraps the value of a record that exists.
func existingRecord(value []byte) keeper.Record {
	return keeper.Record{Value: value, Revision: 1}
}

func digest(rules *parser.Rules) string {
	sum := sha256.Sum256(parser.Format(rules))
	return hex.EncodeToString(sum[:])
}

func changeKey(number uint64) string {
	return fmt.Sprintf("%s%012d", keeper.ChangePrefix, number)
}

// keyNumber returns the number in the key of a change, 0 when it has none.
func keyNumber(key string) uint64 {
	number, err := strconv.ParseUint(strings.TrimPrefix(key, keeper.ChangePrefix), 10, 64)
	if err != nil {
		return 0
	}
	return number
}
