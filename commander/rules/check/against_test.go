package check

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// recordingEntry stands in for an entry without rules, whose instances cannot be
// read, and records the calls.
type recordingEntry struct {
	calls []string
}

func (e *recordingEntry) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	e.calls = append(e.calls, r.Method+" "+r.URL.Path+" "+string(body))
	status, text := http.StatusOK, `{"number":0,"text":""}`
	if strings.HasSuffix(r.URL.Path, "/instances") {
		status, text = http.StatusServiceUnavailable, `{"code":"store-down","verdict":"not-run","detail":"no answer"}`
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}, nil
}

// Guards against a check that sends the file or calls an entry for a file with
// faults, and against instances that cannot be read and fail the check.
func TestCheckOnlyReadsFromTheEntry(t *testing.T) {
	for text, want := range map[string]struct {
		calls []string
		code  int
	}{
		"pool a spare # asked by Cora\n": {[]string{"GET /operator/v1/rules ", "GET /operator/v1/instances "}, commander.ExitOK},
		"pool a # asked by Cora\n":       {[]string{"GET /operator/v1/rules ", "GET /operator/v1/instances "}, commander.ExitWarnings},
		"pool a\n":                       {nil, commander.ExitInvalidRules},
	} {
		e := &recordingEntry{}
		var out, remarks bytes.Buffer
		f := &commander.Factory{In: strings.NewReader(text), Out: &out, Err: &remarks, HTTP: &http.Client{Transport: e}}
		err := commander.Execute(t.Context(), f, New(f), []string{"--against-in-force", "-"})
		require.Equal(t, want.code, commander.ExitCode(err), text)
		require.Equal(t, want.calls, e.calls, text)
		if want.calls != nil {
			require.Contains(t, remarks.String(), "not compared with the instances: no answer (store-down, not-run)")
		}
	}
}
