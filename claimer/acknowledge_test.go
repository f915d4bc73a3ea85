package claimer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/registrar"
)

type fixed struct{ view registrar.View }

func (f fixed) Self() registrar.Member  { return f.view.Members[0] }
func (f fixed) View() registrar.View    { return f.view }
func (f fixed) CheckFreshness() error   { return nil }
func (f fixed) Refresh(context.Context) {}

// TestRepeatedAcknowledgement hands over twice under one view, as happens when
// a view follows before the round of the one before has read the view.
func TestRepeatedAcknowledgement(t *testing.T) {
	members := fixed{registrar.View{Number: 2, Members: []registrar.Member{
		{ID: "a", State: registrar.Active},
		{ID: "b", State: registrar.Active},
	}}}
	c := New(members, nil)
	c.OnView(registrar.View{}, members.view)
	c.acknowledge("b", 2, nil)
	c.acknowledge("b", 2, nil)
	require.NoError(t, c.HandedOver(t.Context(), 2))
}
