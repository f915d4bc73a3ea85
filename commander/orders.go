package commander

import (
	"strings"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/mover"
)

// OrderID returns the ID of the order that an instance has, or "-" when it has
// none.
func OrderID(i mover.Instance) string {
	if i.Order == nil {
		return "-"
	}
	return i.Order.ID
}

// PrintPoolResult prints the instances of a pool that were given an order. It
// returns an error that lists the instances for which the order was refused.
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
