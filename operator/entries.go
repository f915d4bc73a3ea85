package operator

import (
	"context"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

type (
	// Membership is the membership of entries. *registrar.Registrar is one.
	Membership interface {
		View() registrar.View
		Self() registrar.Member
		Evict(ctx context.Context, id, who string) error
	}

	// EvictReply tells that a member was removed.
	EvictReply struct {
		Evicted string `json:"evicted"` // identity of the member
		View    uint64 `json:"view"`    // number of the membership without it
	}

	entriesNoun struct {
		members Membership
	}
)

// EntriesNoun serves the registered entries.
func EntriesNoun(members Membership) Noun {
	return entriesNoun{members}
}

// Routes implements Noun.
func (n entriesNoun) Routes() []Route {
	return []Route{{"POST /entries/{id}/evict", n.evict}}
}

// evict removes a member, named by its identity or its instance, on the word
// of the operator that its process is dead.
func (n entriesNoun) evict(ctx context.Context, r *Request) (any, error) {
	m, ok := n.find(r.Value("id"))
	switch {
	case !ok:
		return nil, classifier.Refuse(classifier.NotFound, "no entry %q is registered: status lists all", r.Value("id"))
	case m.ID == n.members.Self().ID:
		return nil, classifier.Refuse(classifier.Conflict, "entry %s answers this call, so it lives: stop its process instead", m.ID)
	}
	ctx, cancel := lasting(ctx)
	defer cancel()
	if err := n.members.Evict(ctx, m.ID, r.Operator.ID); err != nil {
		return nil, writeFailed(err, "'status'")
	}
	return EvictReply{Evicted: m.ID, View: n.members.View().Number}, nil
}

func (n entriesNoun) find(name string) (registrar.Member, bool) {
	view := n.members.View()
	if m, ok := view.Member(name); ok {
		return m, true
	}
	for _, m := range view.Members {
		if m.Instance == name {
			return m, true
		}
	}
	return registrar.Member{}, false
}
