package collector_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/collector"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// testNetwork routes report requests to collectors by address. A nil collector
// stands for an entry that never answers.
type testNetwork map[string]*collector.Collector

func (f testNetwork) FetchReport(ctx context.Context, address string, r messenger.ReportRequest) (messenger.ReportReply, error) {
	c, ok := f[address]
	switch {
	case !ok:
		return messenger.ReportReply{}, classifier.Refuse(classifier.PeerLost, "no connection to %s", address)
	case c == nil: // never answers
		<-ctx.Done()
		return messenger.ReportReply{}, errors.Trace(ctx.Err())
	}
	return c.HandleReport(ctx, r)
}

type testMembers struct{ self int }

func (m testMembers) Self() registrar.Member { return m.View().Members[m.self] }

func (m testMembers) View() registrar.View {
	var v registrar.View
	for n := range 4 {
		v.Members = append(v.Members, registrar.Member{ID: fmt.Sprintf("e%d", n), Address: fmt.Sprint(n)})
	}
	return v
}

func TestCollectListsEntriesWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testNetwork{}
		for n := range 2 {
			c := collector.New(testMembers{n}, f)
			c.RegisterSource("doubled", func(_ context.Context, subject string) (any, error) { return []string{subject, fmt.Sprint(2 * n)}, nil })
			f[fmt.Sprint(n)] = c
		}
		f["3"] = nil
		parts, missing := collector.Collect[[]string](t.Context(), f["1"], "doubled", "s")
		require.Equal(t, []collector.Part[[]string]{{"e0", []string{"s", "0"}}, {"e1", []string{"s", "2"}}}, parts)
		require.Equal(t, []collector.Missing{
			{"e2", "no connection to 2"},
			{"e3", "context deadline exceeded"},
		}, missing)

		_, missing = collector.Collect[[]string](t.Context(), f["1"], "other", "")
		require.Len(t, missing, 4)
		_, missing = collector.Collect[int](t.Context(), f["1"], "doubled", "")
		require.Len(t, missing, 4)
	})
}
