package claimer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/claimer"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// staticMembership is a membership that never changes.
type staticMembership struct{ view registrar.View }

func (s staticMembership) Self() registrar.Member  { return s.view.Members[0] }
func (s staticMembership) View() registrar.View    { return s.view }
func (s staticMembership) CheckFreshness() error   { return nil }
func (s staticMembership) Refresh(context.Context) {}

// BenchmarkClaimAtOwnHome measures a claim and its settlement at a member that is
// the home of the name itself, without network.
func BenchmarkClaimAtOwnHome(b *testing.B) {
	view := registrar.View{Number: 1, Members: []registrar.Member{{ID: "entry-0.1", Joined: 1, State: registrar.Active}}}
	c := claimer.New(staticMembership{view}, nil)
	c.AdoptView(registrar.View{}, view)
	ctx := b.Context()
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		name := newDatedName(time.Now(), i)
		d, err := c.Claim(ctx, "team", name, [32]byte{}, name)
		if err != nil || !d.Granted {
			b.Fatal(d, err)
		}
		require.NoError(b, c.ReportTaskOutcome(ctx, "team", name, name, classifier.NotRun))
	}
}
