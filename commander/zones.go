package commander

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/excluder"
)

// PrintZoneChange prints that a zone is evacuated or restored. It returns an
// UnconfirmedError if some entries have not confirmed that.
func (f *Factory) PrintZoneChange(out Output, change excluder.Change, done string) error {
	if out.JSON {
		if err := f.PrintJSON(change); err != nil {
			return errors.Trace(err)
		}
	} else {
		f.Printf("Zone %s is %s, confirmed by %d of %d entries.\n", change.Zone, done,
			len(change.Confirmed), len(change.Confirmed)+len(change.Missing))
	}
	if len(change.Missing) == 0 {
		return nil
	}
	return &UnconfirmedError{
		Accepted: fmt.Sprintf("zone %s is recorded as %s", change.Zone, done),
		Command:  "zone list",
		Missing:  change.Missing,
	}
}
