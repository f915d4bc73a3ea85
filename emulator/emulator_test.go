package emulator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

const address = "127.0.0.1:7001"

func newStart(task, body string) dispatcher.Start {
	return dispatcher.Start{
		Task:    task,
		Attempt: 1,
		Owner:   "entry-a1.1",
		Slots:   1,
		StartBy: time.Now().Add(time.Second),
		Lease:   4 * time.Second,
		Body:    []byte(body),
	}
}

func newFleet(slots int) (*emulator.Fleet, *emulator.Worker) {
	fleet := &emulator.Fleet{}
	w := emulator.NewWorker("worker-1", slots, nil)
	fleet.Add(address, w)
	return fleet, w
}

// taskStarter is implemented by Fleet and by the HTTP client of a worker.
type taskStarter interface {
	Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error)
}

func TestWorkerFaultsGiveExpectedVerdicts(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.WorkerFaults
		code   classifier.Code
		want   classifier.Verdict
		ran    int
	}{
		{"none", emulator.WorkerFaults{}, "", classifier.Ran, 1},
		{"lost", emulator.WorkerFaults{NextResponses: []emulator.ResponseFault{emulator.LoseResponse}}, classifier.WorkerLost, classifier.MayHaveRun, 1},
		{"truncated", emulator.WorkerFaults{NextResponses: []emulator.ResponseFault{emulator.TruncateResponse}}, classifier.Truncated, classifier.MayHaveRun, 1},
		{"crossed", emulator.WorkerFaults{NextResponses: []emulator.ResponseFault{emulator.SwapResponse}}, classifier.Crossed, classifier.MayHaveRun, 1},
		{"refused", emulator.WorkerFaults{RefusalReason: dispatcher.Full}, classifier.WorkerRefused, classifier.NotRun, 0},
		{"leaving", emulator.WorkerFaults{Leaving: true}, classifier.Leaving, classifier.NotRun, 0},
		{"crashed", emulator.WorkerFaults{Crashed: true}, classifier.WorkerLost, classifier.NotRun, 0},
		{"paused", emulator.WorkerFaults{Paused: true}, classifier.WorkerLost, classifier.MayHaveRun, 0},
	}
	for _, tt := range tests {
		check := func(t *testing.T, w *emulator.Worker, s taskStarter) {
			w.InjectFaults(func(f *emulator.WorkerFaults) { *f = tt.faults })
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			f, err := s.Start(ctx, address, newStart("task-1", "hello"))
			require.Equal(t, tt.want, classifier.VerdictOf(err))
			require.Len(t, w.Executions(), tt.ran)
			if tt.code == "" {
				require.Equal(t, "hello", string(f.Output))
				return
			}
			require.Equal(t, tt.code, classifier.As(err).Code)
		}
		t.Run(tt.name+" in process", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, w := newFleet(2)
				check(t, w, fleet)
			})
		})
		t.Run(tt.name+" over HTTP", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, w := newFleet(2)
				l, _ := serveOverPipes(t, fleet.Handler(address))
				if tt.faults.Crashed {
					_ = l.Close()
				}
				c := dispatcher.NewClient(dispatcher.WithDialer(l.dial))
				defer c.Close()
				check(t, w, c)
			})
		})
	}
}

// net/http retries some requests when a reused connection breaks. The request that
// starts a task must not be retried, also when the task is idempotent: the client
// would see the refusal of a duplicate instead of the lost response.
func TestStartIsNotRetriedAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, w := newFleet(2)
		l, _ := serveOverPipes(t, fleet.Handler(address))
		c := dispatcher.NewClient(dispatcher.WithDialer(l.dial), dispatcher.WithStartConns(1))
		defer c.Close()
		_, err := c.Start(t.Context(), address, newStart("first", ""))
		require.NoError(t, err)
		w.InjectFaults(func(f *emulator.WorkerFaults) { f.NextResponses = []emulator.ResponseFault{emulator.LoseResponse} })
		second := newStart("second", "")
		second.Idempotent = true
		_, err = c.Start(t.Context(), address, second)
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
		require.Equal(t, classifier.WorkerLost, classifier.As(err).Code, "a retried start would be refused as a duplicate")
		require.Len(t, w.Executions(), 2)
	})
}

func TestTaskCommandsOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(2)
		l, _ := serveOverPipes(t, fleet.Handler(address))
		c := dispatcher.NewClient(dispatcher.WithDialer(l.dial), dispatcher.WithStartConns(1))
		defer c.Close()
		ctx := t.Context()
		commanded := make(chan struct{})
		time.AfterFunc(time.Second, func() {
			defer close(commanded)
			unknown, err := c.Renew(ctx, address, dispatcher.Renewal{Owner: "entry-a1.1", Lease: time.Minute, Tasks: []string{"a/b", "other"}})
			require.NoError(t, err)
			require.Equal(t, []string{"other"}, unknown)
			u, err := c.Usage(ctx, address)
			require.NoError(t, err)
			require.Equal(t, dispatcher.Usage{Slots: 2, Tasks: []string{"a/b"}}, u)
			require.NoError(t, c.Throttle(ctx, address, "a/b"))
			require.Equal(t, classifier.NotRun, classifier.VerdictOf(c.Stop(ctx, address, "other")))
			require.NoError(t, c.Checkpoint(ctx, address, "a/b"))
		})
		f, err := c.Start(ctx, address, newStart("a/b", `{"sleep-ms":3000}`))
		require.NoError(t, err)
		require.Equal(t, dispatcher.Checkpointed, f.Outcome)
		require.Equal(t, fmt.Sprint(int64(4*time.Second)), string(f.Checkpoint))
		<-commanded // the checkpointed task may end before the command's response arrives
	})
}

// A start waits for a free connection only until the context of its caller ends. A
// task whose start never got a connection must be reported as not run.
func TestStartWithoutConnectionHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, w := newFleet(2)
		l, _ := serveOverPipes(t, fleet.Handler(address))
		c := dispatcher.NewClient(dispatcher.WithDialer(l.dial), dispatcher.WithStartConns(1))
		defer c.Close()
		var wg sync.WaitGroup
		wg.Go(func() {
			_, err := c.Start(t.Context(), address, newStart("first", `{"sleep-ms":3000}`))
			require.NoError(t, err)
		})
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Start(ctx, address, newStart("second", ""))
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		wg.Wait()
		require.Len(t, w.Executions(), 1)
	})
}

func TestWorkerRefusesLateFullAndRepeatedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, w := newFleet(2)
		late := newStart("late", "")
		w.InjectFaults(func(f *emulator.WorkerFaults) { f.Paused = true })
		time.AfterFunc(2*time.Second, func() { w.InjectFaults(func(f *emulator.WorkerFaults) { f.Paused = false }) })
		_, err := fleet.Start(t.Context(), address, late)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		require.ErrorContains(t, err, dispatcher.Late)

		big := newStart("big", "")
		big.Slots = 3
		_, err = fleet.Start(t.Context(), address, big)
		require.ErrorContains(t, err, dispatcher.NeverFits)

		_, err = fleet.Start(t.Context(), address, newStart("once", ""))
		require.NoError(t, err)
		_, err = fleet.Start(t.Context(), address, newStart("once", ""))
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err), "the first start of the task has run")
		require.Len(t, w.Executions(), 1)
	})
}

func TestLeaseExpiryEndsTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, w := newFleet(2)
		began := time.Now()
		time.AfterFunc(3*time.Second, func() {
			unknown, err := fleet.Renew(t.Context(), address, dispatcher.Renewal{
				Owner: "entry-a1.1", Lease: 4 * time.Second, Tasks: []string{"long", "other"},
			})
			require.NoError(t, err)
			require.Equal(t, []string{"other"}, unknown)
		})
		f, err := fleet.Start(t.Context(), address, newStart("long", `{"sleep-ms":60000}`))
		require.NoError(t, err)
		require.Equal(t, dispatcher.Stopped, f.Outcome)
		require.Equal(t, 7*time.Second, time.Since(began))
		require.Equal(t, dispatcher.Stopped, w.Executions()[0].Outcome)
	})
}

func TestCrashingTaskCrashesItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, w := newFleet(2)
		time.AfterFunc(500*time.Millisecond, func() {
			_, err := fleet.Start(t.Context(), address, newStart("poison", `{"sleep-ms":500,"crash":true}`))
			require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
		})
		_, err := fleet.Start(t.Context(), address, newStart("bystander", `{"sleep-ms":3000}`))
		require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
		_, err = fleet.Start(t.Context(), address, newStart("next", ""))
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		require.Len(t, w.Executions(), 2)
		w.InjectFaults(func(f *emulator.WorkerFaults) { f.Crashed = false })
		_, err = fleet.Start(t.Context(), address, newStart("next", ""))
		require.NoError(t, err)
	})
}

func TestCheckpointAndThrottle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, _ := newFleet(2)
		began := time.Now()
		first := newStart("long", `{"sleep-ms":2000}`)
		first.Idempotent = true
		time.AfterFunc(500*time.Millisecond, func() {
			require.NoError(t, fleet.Checkpoint(t.Context(), address, "long"))
		})
		f, err := fleet.Start(t.Context(), address, first)
		require.NoError(t, err)
		require.Equal(t, dispatcher.Checkpointed, f.Outcome)

		second := first
		second.Attempt, second.Checkpoint = 2, f.Checkpoint
		time.AfterFunc(500*time.Millisecond, func() {
			require.NoError(t, fleet.Throttle(t.Context(), address, "long"))
		})
		f, err = fleet.Start(t.Context(), address, second)
		require.NoError(t, err)
		require.Equal(t, dispatcher.Done, f.Outcome)
		require.Equal(t, 3*time.Second, time.Since(began), "0.5 s until the checkpoint, 0.5 s at full speed and the last 1 s of work at half speed")
	})
}

func TestPlatformListDelayRebootsAndFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var power []bool
		p := emulator.NewPlatform(2*time.Second, 10*time.Second, func(_ string, up bool) { power = append(power, up) })
		_, transport := serveOverPipes(t, p.Handler())
		c := lister.NewClient("http://platform", lister.WithTransport(transport))
		states := func() []lister.Listing {
			synctest.Wait()
			list, err := p.List(t.Context())
			require.NoError(t, err)
			remote, err := c.List(t.Context())
			require.NoError(t, err)
			require.ElementsMatch(t, list, remote)
			return list
		}
		p.Add(lister.Listing{ID: "worker-1", Rack: "r1"}, lister.Listing{ID: "worker-2", Rack: "r2"})
		require.Empty(t, states())
		time.Sleep(2 * time.Second)
		require.Len(t, states(), 2)

		p.InjectFaults(func(f *emulator.PlatformFaults) { f.LoseRebootResponses = 2 })
		require.ErrorIs(t, p.Reboot(t.Context(), "worker-1"), lister.ErrUnknown)
		require.ErrorIs(t, c.Reboot(t.Context(), "worker-1"), lister.ErrUnknown)
		require.NoError(t, c.Reboot(t.Context(), "worker-1"))
		require.Len(t, states(), 2)
		time.Sleep(3 * time.Second)
		require.Len(t, states(), 1)
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, states()[0].Boots)

		p.MarkLeaving("worker-1")
		p.SetPower(false, func(l lister.Listing) bool { return l.Rack == "r2" })
		time.Sleep(2 * time.Second)
		require.Equal(t, []lister.Listing{{ID: "worker-1", Rack: "r1", State: lister.Leaving, Boots: 1}}, states())
		require.Equal(t, []bool{false, true, false}, power)

		for _, api := range []interface {
			List(context.Context) ([]lister.Listing, error)
			Reboot(context.Context, string) error
		}{p, c} {
			require.ErrorIs(t, api.Reboot(t.Context(), "worker-3"), lister.ErrNotFound)
			p.InjectFaults(func(f *emulator.PlatformFaults) { f.Down = true })
			_, err := api.List(t.Context())
			require.ErrorIs(t, err, lister.ErrUnavailable)
			require.ErrorIs(t, api.Reboot(t.Context(), "worker-1"), lister.ErrUnavailable)
			p.InjectFaults(func(f *emulator.PlatformFaults) { f.Down = false })
		}
	})
}
