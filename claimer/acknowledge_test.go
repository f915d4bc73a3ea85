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

// TestRepeatedAcknowledgement hands over twice under one view, as happens when
// a view follows before the round of the one before has read the view.
func TestRepeatedAcknowledgement(t *testing.T) {
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
