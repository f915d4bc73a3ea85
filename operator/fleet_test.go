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

// failingOrders is a stub for the orders and absences, whose reads fail with
// the error read and whose writes fail with the error write.
type failingOrders struct {
	read, write error
}

func (f failingOrders) List(context.Context) ([]mover.Instance, error) { return nil, f.read }

func (f failingOrders) Absences(context.Context) (budgeter.Absences, error) {
	return budgeter.Absences{}, f.read
}

func (f failingOrders) Get(context.Context, string) (mover.Instance, error) {
	return mover.Instance{}, f.read
}

func (f failingOrders) result() (mover.Instance, error) { return mover.Instance{}, f.write }

func (f failingOrders) Drain(context.Context, string, string) (mover.Instance, error) {
	return f.result()
}
func (f failingOrders) Resume(context.Context, string, string) (mover.Instance, error) {
	return f.result()
}
func (f failingOrders) Evict(context.Context, string, string) (mover.Instance, error) {
	return f.result()
}
func (f failingOrders) Move(context.Context, string, string, string) (mover.Instance, error) {
	return f.result()
}

func (f failingOrders) DrainPool(context.Context, string, string) (mover.PoolResult, error) {
	return mover.PoolResult{Done: []string{"i-1"}}, f.write
}

func (f failingOrders) ResumePool(ctx context.Context, pool, operatorID string) (mover.PoolResult, error) {
	return f.DrainPool(ctx, pool, operatorID)
}

// TestStoreFailures checks that a failed order has the verdict not-run only
// when nothing can have been written to the store.
func TestStoreFailures(t *testing.T) {
	down := errors.Trace(keeper.ErrUnavailable)
	tests := []struct {
		name    string
		orders  failingOrders
		code    classifier.Code
		verdict classifier.Verdict
	}{
		{"store down at the first read", failingOrders{read: down}, classifier.StoreDown, classifier.NotRun},
		{"store down at the write", failingOrders{write: down}, classifier.StoreDown, classifier.MayHaveRun},
		{"response of the store lost", failingOrders{write: keeper.ErrUnknown}, classifier.StoreDown, classifier.MayHaveRun},
		{"lost to concurrent writers", failingOrders{write: keeper.ErrConflict}, classifier.Conflict, classifier.MayHaveRun},
		{"refused by a budget", failingOrders{write: classifier.Refuse(classifier.BudgetSpent, "no room")}, classifier.BudgetSpent, classifier.NotRun},
	}
	s := &stubRuleStore{rules: &parser.Rules{Number: 1, Pools: []parser.Pool{{Name: "inquiries"}}}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := operator.New(s, operator.WithBootstrapHash(authenticator.Hash(bootstrapKey)))
			h.Register(operator.InstancesResource(tt.orders), operator.PoolsResource(s, tt.orders, tt.orders))
			c := operator.NewClient([]string{"entry"}, bootstrapKey, operator.WithHTTPClient(inProcessClient(h)))
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
