package claimer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/registrar"
)

type fixedMembership struct{ view registrar.View }

func (f fixedMembership) Self() registrar.Member  { return f.view.Members[0] }
func (f fixedMembership) View() registrar.View    { return f.view }
func (f fixedMembership) CheckFreshness() error   { return nil }
func (f fixedMembership) Refresh(context.Context) {}

// TestHandOverIsAcknowledgedTwice acknowledges a hand-over twice under one view. This
// happens when a new view is adopted after a round has started for the previous
// view and before the round has read the view number: that round and the next one
// then both hand over under the new view.
func TestHandOverIsAcknowledgedTwice(t *testing.T) {
	members := fixedMembership{registrar.View{Number: 2, Members: []registrar.Member{
		{ID: "a", State: registrar.Active},
		{ID: "b", State: registrar.Active},
	}}}
	c := New(members, nil)
	c.AdoptView(registrar.View{}, members.view)
	c.recordAcknowledgement("b", 2, nil)
	c.recordAcknowledgement("b", 2, nil)
	require.NoError(t, c.WaitForHandOver(t.Context(), 2))
}
