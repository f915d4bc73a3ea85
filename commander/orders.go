package commander

import (
	"strings"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/mover"
)

// OrderID returns the identity of an instance's order, "-" when it has none.
func OrderID(i mover.Instance) string {
	if i.Order == nil {
		return "-"
	}
	return i.Order.ID
}

// PrintPoolResult prints what an order on a pool did. Instances that were left
// alone are an error.
func (f *Factory) PrintPoolResult(out Output, result mover.PoolResult, verb string) error {
	if out.JSON {
		if err := f.PrintJSON(result); err != nil {
			return errors.Trace(err)
		}
	} else {
		f.Printf("%s ordered for %d instances", verb, len(result.Done))
		for _, id := range result.Done {
			f.Printf(" %s", id)
		}
		f.Printf("\n")
	}
	if len(result.Refused) == 0 {
		return nil
	}
	reasons := make([]string, 0, len(result.Refused))
	for _, r := range result.Refused {
		reasons = append(reasons, "\n  "+r.Instance+": "+r.Reason)
	}
	return errors.Errorf("%d instances were left alone:%s\nrepeat the command when there is room",
		len(result.Refused), strings.Join(reasons, ""))
}
