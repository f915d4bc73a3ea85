package classifier

import (
	"fmt"
)

// Verdict says whether a request has run. The zero value is MayHaveRun, so
// that a forgotten verdict never permits a second start.
type Verdict int

// The verdicts a request can end with.
const (
	// MayHaveRun means that nobody can tell whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and never will.
	NotRun
	// Ran means that the request ran to its end.
	Ran
)

var verdictNames = map[Verdict]string{
	MayHaveRun: "may-have-run",
	NotRun:     "not-run",
	Ran:        "ran",
}

// String returns the verdict in the form used on the wire.
func (v Verdict) String() string {
	name, ok := verdictNames[v]
	if !ok {
		return verdictNames[MayHaveRun]
	}
	return name
}

// ParseVerdict reads the wire form of a verdict. An unknown word is an error
// and yields MayHaveRun.
func ParseVerdict(s string) (Verdict, error) {
	for v, name := range verdictNames {
		if name == s {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("unknown verdict %q: use may-have-run, not-run or ran", s)
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := ParseVerdict(string(text))
	*v = parsed
	return err
}
