package operator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// applyTime bounds a change of the rules. It runs on when the operator goes.
const applyTime = 45 * time.Second

type (
	// RuleStore holds the rules. *distributor.Distributor is one.
	RuleStore interface {
		Rules
		Apply(ctx context.Context, base uint64, text []byte, who string) (distributor.Applied, error)
		GiveKey(ctx context.Context, who string, key parser.Key) (distributor.Applied, error)
		WithdrawKey(ctx context.Context, who, id string) (distributor.Applied, error)
	}

	// RulesReply is the rule set in force.
	RulesReply struct {
		Number uint64 `json:"number"` // 0 when no rules were applied yet
		Text   string `json:"text"`   // canonical form
	}

	// ApplyRequest asks for a whole rule set.
	ApplyRequest struct {
		Base uint64 `json:"base"` // number of the set that the text was made from
		Text string `json:"text"`
	}

	// KeyRequest asks for a new key. The key itself stays with the operator.
	KeyRequest struct {
		ID       string `json:"id"`
		Team     string `json:"team,omitempty"`
		Operator bool   `json:"operator,omitempty"`
		Hash     string `json:"hash"`
		Comment  string `json:"comment"`
	}

	// KeyReply is one key in force.
	KeyReply struct {
		ID       string `json:"id"`
		Team     string `json:"team,omitempty"`
		Operator bool   `json:"operator,omitempty"`
		Comment  string `json:"comment"`
	}

	rulesNoun struct {
		store RuleStore
	}

	keysNoun struct {
		store RuleStore
	}
)

// RulesNoun serves the rules.
func RulesNoun(store RuleStore) Noun {
	return rulesNoun{store}
}

// KeysNoun serves the keys.
func KeysNoun(store RuleStore) Noun {
	return keysNoun{store}
}

// Routes implements Noun.
func (n rulesNoun) Routes() []Route {
	return []Route{
		{"GET /rules", n.show},
		{"PUT /rules", n.apply},
	}
}

func (n rulesNoun) show(context.Context, *Request) (any, error) {
	rules := n.store.Rules()
	if rules == nil {
		return RulesReply{}, nil
	}
	return RulesReply{Number: rules.Number, Text: string(parser.Format(rules))}, nil
}

func (n rulesNoun) apply(ctx context.Context, r *Request) (any, error) {
	var req ApplyRequest
	if err := r.Decode(&req); err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := lasting(ctx)
	defer cancel()
	return n.store.Apply(ctx, req.Base, []byte(req.Text), r.Operator.ID)
}

// lasting returns a context that outlives the call, so that an operator who
// goes away leaves no change in doubt.
func lasting(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), applyTime)
}

// Routes implements Noun.
func (n keysNoun) Routes() []Route {
	return []Route{
		{"GET /keys", n.list},
		{"POST /keys", n.give},
		{"DELETE /keys/{id}", n.withdraw},
	}
}

func (n keysNoun) list(context.Context, *Request) (any, error) {
	replies := []KeyReply{}
	rules := n.store.Rules()
	if rules == nil {
		return replies, nil
	}
	for _, key := range rules.Keys {
		replies = append(replies, KeyReply{ID: key.ID, Team: key.Team, Operator: key.Operator, Comment: key.Comment})
	}
	return replies, nil
}

func (n keysNoun) give(ctx context.Context, r *Request) (any, error) {
	var req KeyRequest
	if err := r.Decode(&req); err != nil {
		return nil, errors.Trace(err)
	}
	if !authenticator.IsHash(req.Hash) {
		return nil, classifier.Refuse(classifier.BadRequest, "hash: send sha256: and 64 hexadecimal digits in lower case")
	}
	ctx, cancel := lasting(ctx)
	defer cancel()
	return n.store.GiveKey(ctx, r.Operator.ID, parser.Key(req))
}

func (n keysNoun) withdraw(ctx context.Context, r *Request) (any, error) {
	ctx, cancel := lasting(ctx)
	defer cancel()
	return n.store.WithdrawKey(ctx, r.Operator.ID, r.Value("id"))
}
