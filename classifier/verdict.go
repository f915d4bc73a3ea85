package classifier

import (
	"fmt"
)

// Verdict says whether a request has run. The zero value is MayHaveRun, so that a
// request whose verdict was never set is not started a second time.
type Verdict int

// The possible verdicts.
const (
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and will not run.
	NotRun
	// Ran means that the request ran to its end.
	Ran
)

var verdictNames = map[Verdict]string{
	MayHaveRun: "may-have-run",
	NotRun:     "not-run",
	Ran:        "ran",
}

// String returns the verdict as it is written in HTTP headers and JSON.
func (v Verdict) String() string {
	name, ok := verdictNames[v]
	if !ok {
		return verdictNames[MayHaveRun]
	}
	return name
}

// ParseVerdict parses the result of String. For any other text it returns an
// error and MayHaveRun.
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
