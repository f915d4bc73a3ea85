package orchestrator_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/refuser"
)

const (
	adviceWorkers = 9
	usualJobRate  = 7.0                      // a second; takes half of the cores and two thirds of the advice service's time
	adviceLoad    = usualJobRate * 2 * 0.047 // two steps a job, each with a request that names all workers
	jobTime       = 6 * time.Second          // a job of two steps takes less when nothing waits for long
	finishTime    = 14 * time.Second         // after the end of the traffic all jobs should be completed
)

var adviceSettings = modeler.Advice{BaseDelay: 20 * time.Millisecond, DelayPerWorker: 3 * time.Millisecond, TicketValidity: 3 * time.Second}

// surge is a time in which jobs arrive faster.
type surge struct {
	start, length time.Duration
	factor        float64
}

// timeToRecover returns how long after the surge the service has worked it off: what it
// could not handle meanwhile, in the share of its time that the usual jobs leave.
func (s surge) timeToRecover() time.Duration {
	return time.Duration(float64(s.length) * (s.factor*adviceLoad - 1) / (1 - adviceLoad))
}

// startAdviceDeployment starts an entry node in front of workers whose queue has an
// advice service.
func (d *deployment) startAdviceDeployment() *entryNode {
	d.outcomeQueryTime = time.Hour
	for _, name := range d.instances.Names() {
		d.taskFleet.SetCapacity(d.instances.WorkerOf(name), modeler.Resources{CPU: 32000, Memory: 64000})
	}
	d.requireAdvice(adviceSettings)
	e := d.startEntry("one")
	time.Sleep(2 * time.Second)
	return e
}

// submitJobs submits jobs of two steps for a time, at the usual rate but for the surge, and
// returns when it has submitted each.
func (d *deployment) submitJobs(length time.Duration, s surge) map[string]time.Time {
	submitted := make(map[string]time.Time)
	first := modeler.Step{Count: 6, Need: modeler.Resources{CPU: 1800, Memory: 2500}, Estimate: time.Second}
	second := first
	second.After = []int{0}
	for began := time.Now(); time.Since(began) < length; {
		j := shortJob(fmt.Sprint("job", len(submitted)), first, second)
		d.submit(j)
		submitted[j.ID] = time.Now()
		rate := usualJobRate
		if at := time.Since(began); at >= s.start && at < s.start+s.length {
			rate *= s.factor
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	return submitted
}

// requireCompleted checks that all jobs are completed that were submitted some time ago.
func (d *deployment) requireCompleted(submitted map[string]time.Time, ago time.Duration) {
	for id, at := range submitted {
		if time.Since(at) >= ago {
			require.Equal(d.t, modeler.Completed, d.jobState(id), id)
		}
	}
}

// Guards against a queue that stands still for good after a burst: calls to the advice
// service were given up before their turn and repeated, so that it decided for nobody.
func TestBurstOnQueueWithAdviceIsWorkedOff(t *testing.T) {
	for name, c := range map[string]surge{
		"short": {5 * time.Second, 4 * time.Second, 2.6},
		"high":  {5 * time.Second, 4 * time.Second, 8},
		"long":  {5 * time.Second, 20 * time.Second, 2.6},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, adviceWorkers, func(s *deployment) {
				e := s.startAdviceDeployment()
				submitted := s.submitJobs(c.start+c.length+c.timeToRecover()+jobTime, c)
				s.requireCompleted(submitted, jobTime)
				require.Zero(t, s.advice.Counts().Abandoned)
				require.Zero(t, s.advice.Counts().Refused)
				time.Sleep(finishTime)
				s.requireCompleted(submitted, 0)
				t.Logf("%+v, %s to recover", s.advice.Counts(), c.timeToRecover())
				e.stopGracefully()
			})
		})
	}
}

// Guards against a service that recovers from a disturbance and is kept busy with the calls
// that were given up meanwhile.
func TestQueueWithAdviceRecoversWhenItsServiceDoes(t *testing.T) {
	for name, disturb := range map[string]func(s *deployment, on bool){
		"slow": func(s *deployment, on bool) {
			s.advice.SetSlowdown(map[bool]float64{true: 40, false: 1}[on])
		},
		"silent": func(s *deployment, on bool) { s.advice.SetSilent(on) },
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, adviceWorkers, func(s *deployment) {
				const began, length = 5 * time.Second, 10 * time.Second
				e := s.startAdviceDeployment()
				time.AfterFunc(began, func() { disturb(s, true) })
				time.AfterFunc(began+length, func() { disturb(s, false) })
				submitted := s.submitJobs(80*time.Second, surge{})
				s.requireCompleted(submitted, jobTime)
				require.Zero(t, s.advice.Counts().Refused)
				time.Sleep(finishTime)
				s.requireCompleted(submitted, 0)
				t.Logf("%+v", s.advice.Counts())
				e.stopGracefully()
			})
		})
	}
}

// Guards against requests that name workers again which may not run the step, so that steps
// which few workers may run get no turn.
func TestStepsThatFewWorkersMayRunAreWorkedOff(t *testing.T) {
	runScenario(t, adviceWorkers, func(s *deployment) {
		e := s.startAdviceDeployment()
		numbers := make(map[string]uint32)
		for i, name := range s.instances.Names() {
			numbers[s.instances.WorkerOf(name)] = uint32(i)
		}
		s.advice.Permits = func(step, worker string) bool {
			h := fnv.New32a()
			_, _ = fmt.Fprint(h, step) // the Write method of a hash never returns an error
			return (h.Sum32()+numbers[worker])%3 == 0
		}
		submitted := s.submitJobs(40*time.Second, surge{5 * time.Second, 4 * time.Second, 2.6})
		time.Sleep(finishTime)
		s.requireCompleted(submitted, 0)
		e.stopGracefully()
	})
}

// Guards against urgent steps that wait for the advice service behind a backlog of others.
func TestUrgentStepsAreAskedForBeforeABacklog(t *testing.T) {
	runScenario(t, adviceWorkers, func(s *deployment) {
		s.manifest.Queues[0].Priority = 1
		s.manifest.Queues = append(s.manifest.Queues, modeler.Queue{
			Name: "urgent", Pool: "p", MaxFailedRuns: 3, ObjectiveFactor: 1.6, ObjectiveOffset: 600 * time.Millisecond, Advice: &adviceSettings,
		})
		s.manifest.Index()
		e := s.startAdviceDeployment()
		for n := range 100 {
			s.submit(shortJob(fmt.Sprint("job", n), modeler.Step{Count: 1, Need: modeler.Resources{CPU: 100}, Estimate: time.Second}))
		}
		time.Sleep(time.Second)
		require.NotZero(t, s.taskFleet.RunCountOfJobPrefix("job"))
		require.Less(t, s.taskFleet.RunCountOfJobPrefix("job"), 90, "the others wait for the service")
		j := shortJob("first", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 100}, Estimate: time.Second})
		j.Queue = "urgent"
		s.submit(j)
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("first"))
		e.stopGracefully()
	})
}

// Guards against a step that waits for tickets for good although its queue requires none
// any more.
func TestStepStartsWhenItsQueueRequiresNoAdviceAnyMore(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.outcomeQueryTime = time.Hour
		s.requireAdvice(modeler.Advice{TicketValidity: 3 * time.Second})
		s.advice.Permits = func(string, string) bool { return false }
		e := s.startEntry("one")
		time.Sleep(2 * time.Second)
		s.submit(shortJob("j1"))
		time.Sleep(5 * time.Second)
		require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 1, s.advice.Counts().Handled, "the decision on a worker does not change")
		s.taskFleet.CheckTicket = nil
		next := *s.manifest
		next.Version++
		next.Queues = append([]modeler.Queue(nil), next.Queues...)
		next.Queues[0].Advice = nil
		next.Index()
		e.manifest.Store(&next)
		time.Sleep(5 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		e.stopGracefully()
	})
}

// Guards against starts with a ticket for a worker's former process, which the present one
// refuses.
func TestTicketIsRequestedAgainForARestartedWorker(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.outcomeQueryTime = time.Hour
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return longTask, modeler.EndDone }
		s.requireAdvice(modeler.Advice{TicketValidity: time.Minute})
		refused := 0
		s.taskFleet.CheckTicket = func(w modeler.Worker, o modeler.StartOrder) bool {
			ok := s.advice.CheckTicket(w, o)
			if !ok {
				refused++
			}
			return ok
		}
		e := s.startEntry("one")
		time.Sleep(2 * time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 2, Need: modeler.Resources{CPU: 1000}, Estimate: time.Second}))
		time.Sleep(2 * time.Second)
		require.Equal(t, 2, s.taskFleet.RunCountOfJob("j1"))
		s.taskFleet.RestartUnderSameID(s.instances.WorkerOf("a"))
		time.Sleep(5 * time.Second)
		require.Equal(t, 2, s.taskFleet.RunCountOfJob("j1"))
		require.Zero(t, refused)
		e.stopGracefully()
	})
}

// The load: so many jobs that the advice service can't decide on them in time, while cores
// are free. New jobs are limited for as long as that lasts.
func TestLeaderLimitsNewJobsThatTheAdviceServiceCannotDecideOn(t *testing.T) {
	runScenario(t, adviceWorkers, func(s *deployment) {
		e := s.startAdviceDeployment()
		submitted := 0
		play := func(length time.Duration, rate float64) {
			for began := time.Now(); time.Since(began) < length; submitted++ {
				s.submit(shortJob(fmt.Sprint("job", submitted), modeler.Step{Count: 1, Need: modeler.Resources{CPU: 500}, Estimate: time.Second}))
				time.Sleep(time.Duration(float64(time.Second) / rate))
			}
		}
		play(8*time.Second, 15)
		require.Empty(t, s.load().Limited)
		play(8*time.Second, 60)
		limited := s.load().Limited["short"]["c"]
		require.Equal(t, refuser.LackOfAdvice, limited.Cause)
		require.Less(t, limited.Accept, 0.7)
		require.Greater(t, limited.WaitMs, int64(1000))
		play(40*time.Second, 10)
		require.Empty(t, s.load().Limited)
		e.stopGracefully()
	})
}
