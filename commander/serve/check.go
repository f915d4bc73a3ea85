package serve

import (
	stderrors "errors"
	"net/netip"
	"net/url"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// setting is the flag name and the value of one setting.
type setting struct {
	name, value string
}

// check returns the errors in the settings that only this command has.
func (o *Options) check() []error {
	var faults []error
	for _, s := range []setting{{"--store", o.Store}, {"--instance-list", o.InstanceList}} {
		u, err := url.Parse(s.value)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			faults = append(faults, errors.Errorf("%s is %q: set a URL such as http://127.0.0.1:2379", s.name, s.value))
		}
	}
	for _, s := range []setting{{"--operators", o.Operators}, {"--metrics", o.Metrics}} {
		if _, err := netip.ParseAddrPort(s.value); s.value != "" && err != nil {
			faults = append(faults, errors.Errorf("%s is %q: set IP:PORT, or leave it out", s.name, s.value))
		}
	}
	if o.Operators != "" && o.Operator == "" && !o.OperatorKeysByRulesOnly {
		faults = append(faults, errors.New("--operators is set without an operator key: set COLTSFOOTLEVER_OPERATOR_KEY, or --operators-by-rules-only if the rules have an operator key"))
	}
	return append(faults, o.TLS.check()...)
}

// joinFaults combines all errors in the settings into one UsageError. It
// returns nil when there are none.
func joinFaults(faults []error) error {
	if len(faults) == 0 {
		return nil
	}
	return &commander.UsageError{Program: "coltsfootlever serve", Message: stderrors.Join(faults...).Error()}
}
