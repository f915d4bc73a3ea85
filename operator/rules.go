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

// changeTimeout limits a change of the rules. The change continues until then
// even if the operator disconnects.
const changeTimeout = 45 * time.Second

type (
	// RuleStore holds and changes the rules. *distributor.Distributor
	// implements it.
	RuleStore interface {
		RulesSource
		Apply(ctx context.Context, base uint64, text []byte, operatorID string) (distributor.Applied, error)
		AddKey(ctx context.Context, operatorID string, key parser.Key) (distributor.Applied, error)
		WithdrawKey(ctx context.Context, operatorID, id string) (distributor.Applied, error)
	}

	// RulesReply holds the rules in force.
	RulesReply struct {
		Number uint64 `json:"number"` // 0 when no rules have been applied yet
		Text   string `json:"text"`   // canonical form
	}

	// ApplyRequest is the body of a call that replaces the whole rule set.
	ApplyRequest struct {
		Base uint64 `json:"base"` // number of the rules that the text was edited from
		Text string `json:"text"`
	}

	// KeyRequest is the body of a call that adds a key. It holds the hash; the
	// key itself is never sent.
	KeyRequest struct {
		ID       string `json:"id"`
		Team     string `json:"team,omitempty"`
		Operator bool   `json:"operator,omitempty"`
		Hash     string `json:"hash"`
		Comment  string `json:"comment"`
	}

	// KeyReply describes one key in force.
	KeyReply struct {
		ID       string `json:"id"`
		Team     string `json:"team,omitempty"`
		Operator bool   `json:"operator,omitempty"`
		Comment  string `json:"comment"`
	}

	rulesResource struct {
		store RuleStore
	}

	keysResource struct {
		store RuleStore
	}
)

// RulesResource returns the resource for the rules.
func RulesResource(store RuleStore) Resource {
	return rulesResource{store}
}

// KeysResource returns the resource for the keys.
func KeysResource(store RuleStore) Resource {
	return keysResource{store}
}

// Routes implements Resource.
func (res rulesResource) Routes() []Route {
	return []Route{
		{"GET /rules", res.show},
		{"PUT /rules", res.apply},
	}
}

func (res rulesResource) show(context.Context, *Request) (any, error) {
	rules := res.store.Rules()
	if rules == nil {
		return RulesReply{}, nil
	}
	return RulesReply{Number: rules.Number, Text: string(parser.Format(rules))}, nil
}

func (res rulesResource) apply(ctx context.Context, r *Request) (any, error) {
	var req ApplyRequest
	if err := r.Decode(&req); err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := detachedContext(ctx)
	defer cancel()
	return res.store.Apply(ctx, req.Base, []byte(req.Text), r.Operator.ID)
}

// detachedContext returns a context that is not canceled when the call ends, so
// that a change is completed even if the operator disconnects.
func detachedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
}

// Routes implements Resource.
func (res keysResource) Routes() []Route {
	return []Route{
		{"GET /keys", res.list},
		{"POST /keys", res.add},
		{"DELETE /keys/{id}", res.withdraw},
	}
}

func (res keysResource) list(context.Context, *Request) (any, error) {
	replies := []KeyReply{}
	rules := res.store.Rules()
	if rules == nil {
		return replies, nil
	}
	for _, key := range rules.Keys {
		replies = append(replies, KeyReply{ID: key.ID, Team: key.Team, Operator: key.Operator, Comment: key.Comment})
	}
	return replies, nil
}

func (res keysResource) add(ctx context.Context, r *Request) (any, error) {
	var req KeyRequest
	if err := r.Decode(&req); err != nil {
		return nil, errors.Trace(err)
	}
	if !authenticator.IsHash(req.Hash) {
		return nil, classifier.Refuse(classifier.BadRequest, "hash: send sha256: and 64 hexadecimal digits in lower case")
	}
	ctx, cancel := detachedContext(ctx)
	defer cancel()
	return res.store.AddKey(ctx, r.Operator.ID, parser.Key(req))
}

func (res keysResource) withdraw(ctx context.Context, r *Request) (any, error) {
	ctx, cancel := detachedContext(ctx)
	defer cancel()
	return res.store.WithdrawKey(ctx, r.Operator.ID, r.Value("id"))
}
