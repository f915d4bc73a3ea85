package operator_test

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// failing is a source of orders whose reads and writes fail as told.
type failing struct {
	read, write error
}

func (f failing) List(context.Context) ([]mover.Instance, error) { return nil, f.read }

func (f failing) Absences(context.Context) (budgeter.Absences, error) {
	return budgeter.Absences{}, f.read
}

func (f failing) Get(context.Context, string) (mover.Instance, error) {
	return mover.Instance{}, f.read
}

func (f failing) one() (mover.Instance, error) { return mover.Instance{}, f.write }

func (f failing) Drain(context.Context, string, string) (mover.Instance, error)  { return f.one() }
func (f failing) Resume(context.Context, string, string) (mover.Instance, error) { return f.one() }
func (f failing) Evict(context.Context, string, string) (mover.Instance, error)  { return f.one() }
func (f failing) Move(context.Context, string, string, string) (mover.Instance, error) {
	return f.one()
}

func (f failing) DrainPool(context.Context, string, string) (mover.PoolResult, error) {
	return mover.PoolResult{Done: []string{"i-1"}}, f.write
}

func (f failing) ResumePool(ctx context.Context, pool, who string) (mover.PoolResult, error) {
	return f.DrainPool(ctx, pool, who)
}

// TestStoreFailures checks that an order says not-run only when nothing can
// have been written.
func TestStoreFailures(t *testing.T) {
	down := errors.Trace(keeper.ErrUnavailable)
	tests := []struct {
		name    string
		orders  failing
		code    classifier.Code
		verdict classifier.Verdict
	}{
		{"down before", failing{read: down}, classifier.StoreDown, classifier.NotRun},
		{"down on the way", failing{write: down}, classifier.StoreDown, classifier.MayHaveRun},
		{"answer lost", failing{write: keeper.ErrUnknown}, classifier.StoreDown, classifier.MayHaveRun},
		{"others faster", failing{write: keeper.ErrConflict}, classifier.Conflict, classifier.MayHaveRun},
		{"refused", failing{write: classifier.Refuse(classifier.BudgetSpent, "no room")}, classifier.BudgetSpent, classifier.NotRun},
	}
	s := &store{rules: &parser.Rules{Number: 1, Pools: []parser.Pool{{Name: "inquiries"}}}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := operator.New(s, operator.WithBootstrap(authenticator.Hash(bootstrapKey)))
			h.Register(operator.InstancesNoun(tt.orders), operator.PoolsNoun(s, tt.orders, tt.orders))
			c := operator.NewClient([]string{"entry"}, bootstrapKey, operator.WithHTTPClient(serve(h)))
			calls := map[string]func() error{
				"drain":       func() error { _, err := c.DrainInstance(t.Context(), "i-1"); return err },
				"resume":      func() error { _, err := c.ResumeInstance(t.Context(), "i-1"); return err },
				"move":        func() error { _, err := c.MoveInstance(t.Context(), "i-1", "consent"); return err },
				"evict":       func() error { _, err := c.EvictInstance(t.Context(), "i-1"); return err },
				"drain pool":  func() error { _, err := c.DrainPool(t.Context(), "inquiries"); return err },
				"resume pool": func() error { _, err := c.ResumePool(t.Context(), "inquiries"); return err },
			}
			for name, call := range calls {
				err := call()
				require.Equal(t, tt.code, classifier.As(err).Code, name)
				require.Equal(t, tt.verdict, classifier.VerdictOf(err), name)
			}
			_, err := c.Pools(t.Context())
			require.Equal(t, tt.orders.read != nil, err != nil)
		})
	}
}
