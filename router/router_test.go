package router_test

import (
	"context"
	"crypto/sha256"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/claimer"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/placer"
	"github.com/coltsfootlever/coltsfootlever/registrar"
	"github.com/coltsfootlever/coltsfootlever/router"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

type (
	// testMember is one router in a network of two members. It also stands in for
	// everything that the router depends on.
	testMember struct {
		*router.Router
		id           string
		net          *testNetwork
		runTask      func(scheduler.Task) (messenger.Answer, error)
		chosenMember string
		submitted    []scheduler.Task
	}

	// testNetwork carries messages between the members and can lose answers.
	testNetwork struct {
		mu         sync.Mutex
		members    map[string]*testMember
		names      map[string]claimer.Decision
		lostAnswer error // if set, the error returned for every forwarded task, after it ran
		refusal    error // if set, the error returned for every forwarded task, without running it
	}
)

func newTestNetwork() *testNetwork {
	n := &testNetwork{members: make(map[string]*testMember), names: make(map[string]claimer.Decision)}
	for _, id := range []string{"a", "b"} {
		m := &testMember{id: id, net: n, chosenMember: id, runTask: answer}
		m.Router = router.New(m, m, testPeers{m}, m, m)
		n.members[id] = m
	}
	return n
}

func answer(task scheduler.Task) (messenger.Answer, error) {
	return messenger.Answer{Task: task.ID, Output: task.Body, Digest: sha256.Sum256(task.Body)}, nil
}

func (m *testMember) Self() registrar.Member { return registrar.Member{ID: m.id, Address: m.id} }
func (m *testMember) CheckFreshness() error  { return nil }
func (m *testMember) View() registrar.View {
	return registrar.View{Members: []registrar.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}}}
}

func (m *testMember) Submit(_ context.Context, task scheduler.Task, _ placer.WithdrawPolicy) (messenger.Answer, error) {
	m.net.mu.Lock()
	m.submitted = append(m.submitted, task)
	m.net.mu.Unlock()
	return m.runTask(task)
}

func (m *testMember) ForwardTask(ctx context.Context, address string, r messenger.ForwardRequest) (messenger.Answer, error) {
	if m.net.refusal != nil {
		return messenger.Answer{}, m.net.refusal
	}
	a, err := m.net.members[address].HandleForward(ctx, r)
	if m.net.lostAnswer != nil {
		return messenger.Answer{}, m.net.lostAnswer
	}
	return a, err
}

func (m *testMember) WaitForAnswer(ctx context.Context, address string, r messenger.AttachRequest) (messenger.Answer, error) {
	return m.net.members[address].HandleAttach(ctx, r)
}

func (m *testMember) Cancel(context.Context, string) bool { return false }

func (m *testMember) Claim(_ context.Context, _, name string, _ [32]byte, task string) (claimer.Decision, error) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	if held, ok := m.net.names[name]; ok {
		return held, nil
	}
	m.net.names[name] = claimer.Decision{Holder: m.id, Task: task}
	return claimer.Decision{Granted: true}, nil
}

func (m *testMember) ReportTaskOutcome(_ context.Context, _, name, _ string, v classifier.Verdict) error {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	if v == classifier.NotRun {
		delete(m.net.names, name)
	}
	return nil
}

func (m *testMember) Choose(scheduler.Task, map[string]bool) (string, bool) {
	return m.chosenMember, true
}
func (m *testMember) HasWorker(scheduler.Task) bool { return true }

func (m *testMember) PeerCanStart(scheduler.Task, map[string]bool) bool { return false }
func (m *testMember) RecordPlacement(scheduler.Task, string) func()     { return func() {} }

func (m *testMember) submit(t *testing.T, name string, idempotent bool) (messenger.Answer, *classifier.Error) {
	task := scheduler.Task{
		ID: m.NewTaskID(), Team: "leads", Queue: "inquiries", Pool: "match", Name: name, Idempotent: idempotent,
		Slots: 1, Accepted: time.Now(), Deadline: time.Now().Add(time.Minute), Body: []byte(name),
	}
	job, err := m.Accept(t.Context(), task)
	require.NoError(t, err)
	<-job.Done()
	return job.Result()
}

// testPeers implements router.Peers. testMember itself cannot, because its Cancel
// method is the one of router.Placer.
type testPeers struct{ *testMember }

func (p testPeers) CancelTask(context.Context, string, messenger.CancelRequest) error { return nil }

func TestTaskIsForwardedAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork()
		n.members["a"].chosenMember = "b"
		n.members["b"].chosenMember = "a"
		got, err := n.members["a"].submit(t, "n1", false)
		require.Nil(t, err)
		require.Equal(t, "n1", string(got.Output))
		require.Empty(t, n.members["a"].submitted)
		require.Len(t, n.members["b"].submitted, 1)
		require.True(t, n.members["b"].submitted[0].Forwarded)
	})
}

func TestLostAnswerFromPeer(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		verdict    classifier.Verdict
		least      int // smallest number of runs
		most       int // largest number of runs: the first one, the retry budget's initial retries, and those regained within a minute
	}{
		{"not idempotent runs once", false, classifier.MayHaveRun, 1, 1},
		{"idempotent is tried within the retry budget", true, classifier.MayHaveRun, 2, 21},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newTestNetwork()
				n.lostAnswer = classifier.Uncertain(classifier.PeerLost, "connection lost")
				n.members["a"].chosenMember = "b"
				_, err := n.members["a"].submit(t, "n1", tt.idempotent)
				require.Equal(t, tt.verdict, err.Verdict)
				require.GreaterOrEqual(t, len(n.members["b"].submitted), tt.least)
				require.LessOrEqual(t, len(n.members["b"].submitted), tt.most)
			})
		})
	}
}

func TestRefusedForwardEndsWithNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork()
		n.refusal = classifier.Refuse(classifier.PeerLost, "not connected")
		n.members["a"].chosenMember = "b"
		_, err := n.members["a"].submit(t, "n1", false)
		require.Equal(t, classifier.NotRun, err.Verdict)
		require.Equal(t, classifier.DeadlineOver, err.Code)
		require.Empty(t, n.names, "the name can be claimed again")
	})
}

func TestMismatchedOrTruncatedAnswerIsRejected(t *testing.T) {
	for name, corrupt := range map[classifier.Code]func(*messenger.Answer){
		classifier.Crossed:   func(a *messenger.Answer) { a.Task = "another" },
		classifier.Truncated: func(a *messenger.Answer) { a.Output = a.Output[:1] },
	} {
		t.Run(string(name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newTestNetwork()
				n.members["a"].chosenMember = "b"
				n.members["b"].runTask = func(task scheduler.Task) (messenger.Answer, error) {
					a, err := answer(task)
					corrupt(&a)
					return a, err
				}
				_, err := n.members["a"].submit(t, "n1", false)
				require.Equal(t, name, err.Code)
				require.Equal(t, classifier.MayHaveRun, err.Verdict)
			})
		})
	}
}

func TestRepeatedNameOnAnyMemberGetsFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork()
		n.members["a"].runTask = func(task scheduler.Task) (messenger.Answer, error) {
			time.Sleep(time.Second)
			return answer(task)
		}
		var wait sync.WaitGroup
		for range 3 {
			for _, m := range n.members {
				wait.Go(func() {
					got, err := m.submit(t, "n1", false)
					require.Nil(t, err)
					require.Equal(t, "n1", string(got.Output))
				})
			}
		}
		wait.Wait()
		require.Equal(t, 1, len(n.members["a"].submitted)+len(n.members["b"].submitted))
	})
}

func TestStateIsRefusedToOtherTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork()
		got, err := n.members["a"].submit(t, "n1", true)
		require.Nil(t, err)
		through, stateErr := n.members["b"].JobResult(t.Context(), "leads", got.Task)
		require.NoError(t, stateErr)
		require.Equal(t, got.Output, through.Output)
		_, stateErr = n.members["b"].JobResult(t.Context(), "parks", got.Task)
		require.Equal(t, classifier.Forbidden, classifier.As(stateErr).Code)
	})
}

func TestTaskLargerThanEveryWorkerIsRefusedAtOnce(t *testing.T) {
	n := newTestNetwork()
	m := n.members["a"]
	r := router.New(m, m, testPeers{m}, m, m, router.WithLargestWorker(func(string) int { return 8 }))
	_, err := r.Accept(t.Context(), scheduler.Task{ID: "t", Pool: "match", Slots: 9})
	require.Equal(t, classifier.NeverFits, classifier.As(err).Code)
	require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
}

func TestClosedRouterRefusesNewTasksAndWaitsForRunningOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork()
		m := n.members["a"]
		m.runTask = func(task scheduler.Task) (messenger.Answer, error) {
			time.Sleep(time.Minute)
			return answer(task)
		}
		job, err := m.Accept(t.Context(), scheduler.Task{ID: "t", Idempotent: true, Deadline: time.Now().Add(time.Hour)})
		require.NoError(t, err)
		m.Close()
		_, err = m.Accept(t.Context(), scheduler.Task{ID: "u", Idempotent: true, Deadline: time.Now().Add(time.Hour)})
		require.Equal(t, classifier.Leaving, classifier.As(err).Code)
		_, err = m.HandleForward(t.Context(), messenger.ForwardRequest{})
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		require.NoError(t, m.Wait(t.Context()))
		_, failure := job.Result()
		require.Nil(t, failure)
	})
}
