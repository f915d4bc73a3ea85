package operator

import (
	"context"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

type (
	// Membership holds the registered entries and removes one on request.
	// *registrar.Registrar implements it.
	Membership interface {
		View() registrar.View
		Self() registrar.Member
		Evict(ctx context.Context, id, operatorID string) error
	}

	// EvictReply is the response to a call that removed an entry.
	EvictReply struct {
		Evicted string `json:"evicted"` // identity of the removed entry
		View    uint64 `json:"view"`    // number of the membership view without the entry
	}

	entriesResource struct {
		members Membership
	}
)

// EntriesResource returns the resource for the registered entries.
func EntriesResource(members Membership) Resource {
	return entriesResource{members}
}

// Routes implements Resource.
func (res entriesResource) Routes() []Route {
	return []Route{{"POST /entries/{id}/evict", res.evict}}
}

// evict removes an entry, given by its identity or its instance, whose process
// the operator has verified to be dead.
func (res entriesResource) evict(ctx context.Context, r *Request) (any, error) {
	m, ok := res.find(r.Value("id"))
	switch {
	case !ok:
		return nil, classifier.Refuse(classifier.NotFound, "no entry %q is registered: status lists all", r.Value("id"))
	case m.ID == res.members.Self().ID:
		return nil, classifier.Refuse(classifier.Conflict, "entry %s answers this call, so it lives: stop its process instead", m.ID)
	}
	ctx, cancel := detachedContext(ctx)
	defer cancel()
	if err := res.members.Evict(ctx, m.ID, r.Operator.ID); err != nil {
		return nil, classifyWriteError(err, "'status'")
	}
	return EvictReply{Evicted: m.ID, View: res.members.View().Number}, nil
}

func (res entriesResource) find(name string) (registrar.Member, bool) {
	view := res.members.View()
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
