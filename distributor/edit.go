package distributor

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

const maxEditAttempts = 16 // attempts that may fail with a conflict before an edit is given up

// EditKeys changes the keys of the latest rules and applies the result like
// Apply. edit gets a copy of the keys and returns the new ones; it is called
// again with the keys of newer rules when another change was committed first.
func (d *Distributor) EditKeys(ctx context.Context, who string, edit func([]parser.Key) ([]parser.Key, error)) (Applied, error) {
	var err error
	for range maxEditAttempts {
		var applied Applied
		applied, err = d.tryEditKeys(ctx, who, edit)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return applied, errors.Trace(err)
		}
	}
	return Applied{}, errors.Trace(err)
}

// tryEditKeys edits the keys of the latest rules once. It fails with
// *ConflictError when another change was committed first.
func (d *Distributor) tryEditKeys(ctx context.Context, who string, edit func([]parser.Key) ([]parser.Key, error)) (Applied, error) {
	if err := d.checkAndRefreshRules(ctx); err != nil {
		return Applied{}, errors.Trace(err)
	}
	cur := d.Rules()
	if cur == nil {
		return Applied{}, classifier.Refuse(classifier.Unready, "there are no rules yet: apply a rules file first")
	}
	next := *cur
	keys, err := edit(slices.Clone(cur.Keys))
	if err != nil {
		return Applied{}, withVerdictNotRun(err)
	}
	next.Keys = keys
	if err := parser.Check(&next); err != nil {
		return Applied{}, withVerdictNotRun(err)
	}
	return d.changeRules(ctx, cur, cur.Number, &next, who)
}

// AddKey adds a key to the rules.
func (d *Distributor) AddKey(ctx context.Context, who string, key parser.Key) (Applied, error) {
	return d.EditKeys(ctx, who, func(keys []parser.Key) ([]parser.Key, error) {
		if i := keyIndex(keys, key.ID); i >= 0 {
			if keys[i] == key {
				return keys, nil
			}
			return nil, classifier.Refuse(classifier.Conflict, "there is a key %q already: withdraw it first or choose another name", key.ID)
		}
		return append(keys, key), nil
	})
}

// WithdrawKey removes a key from the rules.
func (d *Distributor) WithdrawKey(ctx context.Context, who, id string) (Applied, error) {
	return d.EditKeys(ctx, who, func(keys []parser.Key) ([]parser.Key, error) {
		i := keyIndex(keys, id)
		if i < 0 {
			return nil, classifier.Refuse(classifier.NotFound, "there is no key %q: key list shows all", id)
		}
		return slices.Delete(keys, i, i+1), nil
	})
}

// keyIndex returns the index of the key with the ID, or -1.
func keyIndex(keys []parser.Key, id string) int {
	return slices.IndexFunc(keys, func(k parser.Key) bool { return k.ID == id })
}
