package orchestrator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

func TestProgressIsSmallOverASlowLink(t *testing.T) {
	runScenario(t, 4, func(s *deployment) {
		s.storeBytesPerSecond = 250_000
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return 10 * time.Second, modeler.EndDone }
		e := s.startEntry("one")
		time.Sleep(time.Second)
		id := fmt.Sprintf("%016x", 7)
		s.submit(shortJob(id, modeler.Step{Count: 12, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(time.Second)
		r, err := s.store.ClientFor("x").Get(t.Context(), orchestrator.ProgressKey(id))
		require.NoError(t, err)
		p := s.progressOf(id)
		require.Len(t, p.Steps[0].Tasks, 12)
		plain, err := json.Marshal(p)
		require.NoError(t, err)
		require.Less(t, 3*len(r.Value), len(plain))
		require.Equal(t, modeler.Running, s.jobState(id))
		e.crash()
		second := s.startEntry("two")
		time.Sleep(20 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState(id))
		for n := range 12 {
			require.Equal(t, 1, s.taskFleet.StartedRuns(taskID(id, 0, n)))
		}
		second.stopGracefully()
	})
}

func TestUnreadableProgressIsAnError(t *testing.T) {
	for _, value := range []string{"", "nonsense", "\x01", "\x01nonsense", "\x02{}"} {
		_, err := orchestrator.DecodeProgress([]byte(value))
		require.Error(t, err, "%q", value)
	}
	_, err := orchestrator.LoadJobView(t.Context(), unreadable{}, "j1")
	require.ErrorContains(t, err, "decoding the job record")
}

// unreadable lists a progress record that can't be read.
type unreadable struct{}

// List implements orchestrator.Lister.
func (unreadable) List(context.Context, string) ([]keeper.Record, int64, error) {
	return []keeper.Record{{Key: orchestrator.ProgressKey("j1"), Value: []byte("nonsense"), Revision: 1}}, 1, nil
}
