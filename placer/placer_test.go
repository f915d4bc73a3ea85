package placer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/placer"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// testPlacer is a running placer with emulated workers, in virtual time.
type testPlacer struct {
	t       *testing.T
	placer  *placer.Placer
	quota   *granter.SlotQuota
	fleet   *scheduler.Fleet
	workers []*emulator.Worker
}

func newTestPlacer(t *testing.T, workers, grant int, opts ...placer.Option) *testPlacer {
	tp := &testPlacer{t: t, quota: granter.NewSlotQuota(nil), fleet: scheduler.NewFleet()}
	tp.quota.SetCeiling("leads", grant)
	workerFleet := &emulator.Fleet{}
	for n := range workers {
		id := fmt.Sprintf("worker-%d", n)
		w := emulator.NewWorker(id, 1, nil)
		workerFleet.Add(id, w)
		tp.workers = append(tp.workers, w)
		tp.fleet.EnableWorker(scheduler.Worker{ID: id, Address: id, Pool: "match", Slots: 1})
	}
	tp.placer = placer.New("entry-1", workerFleet, tp.quota, tp.fleet, scheduler.NewWaitingTasks(), opts...)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = tp.placer.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return tp
}

func (tp *testPlacer) submit(id string, idempotent bool, body string) (messenger.Answer, error) {
	task := scheduler.Task{
		ID: id, Team: "leads", Queue: "inquiries", Pool: "match", Slots: 1, Name: id, Idempotent: idempotent,
		Class: scheduler.Background, Accepted: time.Now(), Deadline: time.Now().Add(time.Minute), Body: []byte(body),
	}
	return tp.placer.Submit(context.Background(), task, placer.WithdrawPolicy{})
}

func (tp *testPlacer) executions() int {
	n := 0
	for _, w := range tp.workers {
		n += len(w.Executions())
	}
	return n
}

func TestNonIdempotentTaskWithLostAnswerIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPlacer(t, 2, 2)
		for _, w := range tp.workers {
			w.InjectFaults(func(f *emulator.WorkerFaults) { f.NextResponses = []emulator.ResponseFault{emulator.LoseResponse} })
		}
		_, err := tp.submit("once", false, `{"sleep-ms":100}`)
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
		require.Equal(t, 1, tp.executions())
	})
}

func TestIdempotentTaskWithTruncatedAnswerIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPlacer(t, 2, 2)
		for _, w := range tp.workers {
			w.InjectFaults(func(f *emulator.WorkerFaults) { f.NextResponses = []emulator.ResponseFault{emulator.TruncateResponse} })
		}
		answer, err := tp.submit("again", true, `{"sleep-ms":100}`)
		require.NoError(t, err)
		require.Equal(t, `{"sleep-ms":100}`, string(answer.Output))
		require.Equal(t, 3, tp.executions())
	})
}

// The slots of a task that may still run count against its team's grant until
// its lease expires.
func TestLostAttemptKeepsGrantUntilLeaseEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPlacer(t, 2, 1)
		tp.workers[0].InjectFaults(func(f *emulator.WorkerFaults) { f.Paused = true })
		tp.workers[1].InjectFaults(func(f *emulator.WorkerFaults) { f.RefusalReason = dispatcher.Full })
		_, err := tp.submit("lost", false, `{"sleep-ms":100}`)
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
		synctest.Wait()
		require.Zero(t, tp.quota.Used()["leads"], "the attempt is given up only when its lease has expired, so the grant is free at once")

		tp.workers[0].InjectFaults(func(f *emulator.WorkerFaults) {
			f.Paused = false
			f.NextResponses = []emulator.ResponseFault{emulator.LoseResponse}
		})
		_, err = tp.submit("lost too", false, `{"sleep-ms":100}`)
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
		require.Equal(t, 1, tp.quota.Used()["leads"])
		time.Sleep(placer.DefaultStartTimeout + placer.DefaultLease + placer.DefaultClockMargin)
		synctest.Wait()
		require.Zero(t, tp.quota.Used()["leads"])
	})
}

func TestLeaseOfLongTaskIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPlacer(t, 1, 1)
		_, err := tp.submit("long", false, `{"sleep-ms":50000}`)
		require.NoError(t, err)
		require.Equal(t, 1, tp.executions())
	})
}

func TestRefusalVerdicts(t *testing.T) {
	tests := []struct {
		name    string
		refuse  string
		grant   int
		verdict classifier.Verdict
		code    classifier.Code
	}{
		{"no grant", "", 0, classifier.NotRun, classifier.DeadlineOver},
		{"worker is full", dispatcher.Full, 1, classifier.NotRun, classifier.WorkerRefused},
		{"fits no worker", dispatcher.NeverFits, 1, classifier.NotRun, classifier.NeverFits},
		{"worker leaves", dispatcher.IsLeaving, 1, classifier.NotRun, classifier.DeadlineOver},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tp := newTestPlacer(t, 1, tt.grant)
				tp.workers[0].InjectFaults(func(f *emulator.WorkerFaults) { f.RefusalReason = tt.refuse })
				_, err := tp.submit("refused", false, "")
				require.Equal(t, tt.verdict, classifier.VerdictOf(err), "%v", err)
				require.Equal(t, tt.code, classifier.As(err).Code)
				require.Zero(t, tp.executions())
			})
		})
	}
}

func TestCancelWaitingAndRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPlacer(t, 1, 1)
		ends := make(chan error, 2)
		go func() {
			_, err := tp.submit("running", false, `{"sleep-ms":60000}`)
			ends <- err
		}()
		synctest.Wait()
		go func() {
			_, err := tp.submit("waiting", false, "")
			ends <- err
		}()
		synctest.Wait()
		require.True(t, tp.placer.Cancel(t.Context(), "waiting"))
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(<-ends))
		require.True(t, tp.placer.Cancel(t.Context(), "running"))
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(<-ends))
		require.False(t, tp.placer.Cancel(t.Context(), "unknown"))
		require.Zero(t, tp.quota.Used()["leads"])
	})
}

// An urgent task of a team below its share must start within a time limit
// although the only worker is busy for a minute. The placer preempts the
// background task.
func TestUrgentTaskPreemptsBackgroundTask(t *testing.T) {
	const urgentBound = 2200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		shares := func(string, map[string]int) map[string]int { return map[string]int{"leads": 0, "planners": 1} }
		tp := newTestPlacer(t, 1, 1, placer.WithShares(shares))
		tp.quota.SetCeiling("planners", 1)
		done := make(chan error, 1)
		go func() {
			_, err := tp.submit("background", true, `{"sleep-ms":60000}`)
			done <- err
		}()
		synctest.Wait()
		start := time.Now()
		urgent := scheduler.Task{
			ID: "urgent", Team: "planners", Queue: "calls", Pool: "match", Slots: 1, Idempotent: true,
			Class: scheduler.Urgent, Accepted: start, Deadline: start.Add(time.Minute),
		}
		_, err := tp.placer.Submit(t.Context(), urgent, placer.WithdrawPolicy{})
		require.NoError(t, err)
		require.Less(t, time.Since(start), urgentBound)
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(<-done), "the preempted task is resumed but reaches its deadline before its end")
	})
}

// A task that fails on every worker must end after a limited number of
// executions.
func TestTaskThatFailsOnEveryWorkerIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPlacer(t, 8, 8)
		_, err := tp.submit("failing", true, `{"fail":true}`)
		require.Equal(t, classifier.HeldBack, classifier.As(err).Code)
		require.Equal(t, scheduler.DefaultFailedWorkerLimit, tp.executions())
	})
}

// Guards against a task that is sent to a worker whose zone was evacuated after the
// worker was chosen, and against a withheld start that counts as an attempt.
func TestWithheldStartIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		tp := newTestPlacer(t, 1, 1, placer.WithStartCheck(func(scheduler.Worker) error {
			if time.Since(began) < time.Second {
				return classifier.Refuse(classifier.NoCapacity, "evacuated")
			}
			return nil
		}))
		answer, err := tp.submit("t1", false, "{}")
		require.NoError(t, err)
		require.Equal(t, 1, answer.Attempt)
		require.Equal(t, 1, tp.executions())
		require.GreaterOrEqual(t, time.Since(began), time.Second)
		require.Empty(t, tp.fleet.UsageByZone())
	})
}

// Guards against a retried task that waits until its deadline on a member whose
// workers are all in an evacuated zone.
func TestRetriedTaskIsWithdrawnWithoutWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPlacer(t, 1, 1)
		tp.workers[0].InjectFaults(func(f *emulator.WorkerFaults) { f.NextResponses = []emulator.ResponseFault{emulator.TruncateResponse} })
		task := scheduler.Task{
			ID: "t1", Team: "leads", Pool: "match", Slots: 1, Idempotent: true, Class: scheduler.Background,
			Accepted: time.Now(), Deadline: time.Now().Add(time.Minute), Body: []byte(`{"sleep-ms":1000}`),
		}
		time.AfterFunc(500*time.Millisecond, func() { tp.fleet.DisableWorker("worker-0") })
		_, err := tp.placer.Submit(t.Context(), task, placer.WithdrawPolicy{
			CheckInterval: 100 * time.Millisecond,
			CannotRun:     func() bool { return tp.fleet.TotalFreeSlots("match") == 0 },
		})
		require.Equal(t, classifier.NoCapacity, classifier.As(err).Code)
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
	})
}

// Guards against the loss of a checkpoint when the member has no worker for some
// seconds.
func TestCheckpointedTaskWaitsForWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPlacer(t, 1, 1)
		task := scheduler.Task{
			ID: "t1", Team: "leads", Pool: "match", Slots: 1, Idempotent: true, Class: scheduler.Background,
			Accepted: time.Now(), Deadline: time.Now().Add(time.Minute), Body: []byte(`{"sleep-ms":5000}`),
		}
		time.AfterFunc(time.Second, func() {
			tp.fleet.DisableWorker("worker-0")
			tp.placer.CheckpointWorker("worker-0")
		})
		time.AfterFunc(10*time.Second, func() {
			tp.fleet.EnableWorker(scheduler.Worker{ID: "worker-0", Address: "worker-0", Pool: "match", Slots: 1})
			tp.placer.Wake()
		})
		answer, err := tp.placer.Submit(t.Context(), task, placer.WithdrawPolicy{
			CheckInterval: 100 * time.Millisecond,
			CannotRun:     func() bool { return tp.fleet.TotalFreeSlots("match") == 0 },
		})
		require.NoError(t, err)
		require.Equal(t, 2, answer.Attempt)
	})
}
