package classifier_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

func ExampleVerdictOf() {
	err := classifier.Refuse(classifier.QueueFull, "queue %q is full", "inquiries")
	fmt.Println(classifier.VerdictOf(errors.Trace(err)))
	// Output: not-run
}

func TestVerdictOfUnknownErrorIsMayHaveRun(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want classifier.Verdict
	}{
		{"nil", nil, classifier.Ran},
		{"plain", errors.New("some failure"), classifier.MayHaveRun},
		{"deadline", context.DeadlineExceeded, classifier.MayHaveRun},
		{"annotated refusal", errors.Annotate(classifier.Refuse(classifier.Leaving, "x"), "y"), classifier.NotRun},
		{"zero value", &classifier.Error{}, classifier.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, classifier.VerdictOf(tt.err))
		})
	}
}

func TestVerdictRoundTrip(t *testing.T) {
	for _, v := range []classifier.Verdict{classifier.MayHaveRun, classifier.NotRun, classifier.Ran} {
		text, err := v.MarshalText()
		require.NoError(t, err)
		var got classifier.Verdict
		require.NoError(t, got.UnmarshalText(text))
		require.Equal(t, v, got)
	}
	var got classifier.Verdict
	require.Error(t, got.UnmarshalText([]byte("perhaps")))
	require.Equal(t, classifier.MayHaveRun, got)
}
