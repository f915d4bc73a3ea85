package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/router"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// slowTask returns a task with a body of 1 MiB.
func slowTask(id string) scheduler.Task {
	return scheduler.Task{ID: id, Idempotent: true, Slots: 1, Deadline: time.Now().Add(time.Hour), Body: make([]byte, 1<<20)}
}

// The bound of a queue counts tasks, so the bodies of those under way exhausted the
// memory of the process.
func TestLargeTasksUnderWayDoNotExhaustMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 64 << 20
		n := newTestNetwork()
		m := n.members["a"]
		release := make(chan struct{})
		m.runTask = func(task scheduler.Task) (messenger.Answer, error) {
			<-release
			return answer(task)
		}
		m.Router = router.New(m, m, testPeers{m}, m, m, router.WithMaxTaskBytes(limit))
		var held int
		var err error
		for ; err == nil && held <= limit>>20; held++ {
			_, err = m.Accept(t.Context(), slowTask(m.NewTaskID()))
		}
		require.Error(t, err)
		require.Equal(t, classifier.QueueFull, classifier.As(err).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		require.Positive(t, classifier.As(err).RetryAfter)

		_, err = m.HandleForward(t.Context(), messenger.ForwardRequest{From: "b", Task: slowTask("forwarded@b")})
		require.Equal(t, classifier.NoCapacity, classifier.As(err).Code, "the peer runs the task elsewhere")
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))

		close(release)
		synctest.Wait()
		_, err = m.Accept(t.Context(), slowTask(m.NewTaskID()))
		require.NoError(t, err)
		synctest.Wait()
	})
}
