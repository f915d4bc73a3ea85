package acceptor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/acceptor"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/refuser"
)

const (
	jobID = "5c0e7a21d94b36f8"
	body  = `{"spec":"s","steps":[{"count":1,"cpu":500}]}`
)

// fleetState is what the entry under test knows about the fleet.
type fleetState struct {
	manifest     *modeler.Manifest
	pending      map[string]int
	limited      map[string]orchestrator.Limitation // by customer
	evacuated    []string
	unreachable  bool
	storeSilence time.Duration
	memoryUsedUp bool
}

func (b *fleetState) Manifest() *modeler.Manifest { return b.manifest }

func (b *fleetState) Pending(queue string) (int, bool) { return b.pending[queue], b.pending != nil }

func (b *fleetState) Limitation(_, customer string) (orchestrator.Limitation, bool) {
	l, ok := b.limited[customer]
	return l, ok
}

func (b *fleetState) ReserveMemory(string, int64) bool { return !b.memoryUsedUp }

func (b *fleetState) EvacuatedZones() []string { return b.evacuated }

func (b *fleetState) StoreIsUnreachable() bool { return b.unreachable }

func (b *fleetState) SinceStoreAnswer() time.Duration { return b.storeSilence }

// fixture is an Acceptor with an emulated store and a manifest of two queues.
type fixture struct {
	t     *testing.T
	store *emulator.MetaStore
	fleet *fleetState
	a     *acceptor.Acceptor
}

func newFixture(t *testing.T) *fixture {
	m := &modeler.Manifest{
		Version: 1, MaxBody: 1000,
		Queues: []modeler.Queue{
			{Name: "keyed", Host: "h.example", Prefix: "/k/", Pool: "p"},
			{Name: "open", Host: "h.example", Prefix: "/o/", Pool: "p", Public: true},
		},
		Customers: []modeler.Customer{{Name: "c", Keys: []string{"secret"}}},
	}
	m.Index()
	store, b := emulator.NewMetaStore(), &fleetState{manifest: m, pending: map[string]int{"open": 3}}
	return &fixture{t: t, store: store, fleet: b, a: acceptor.New(store.ClientFor("entry"), b, acceptor.WithRandom(func() float64 { return 0.5 }))}
}

// call sends a request to the Acceptor and returns the response.
func (b *fixture) call(method, path, body, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://h.example"+path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	b.a.ServeHTTP(w, r)
	return w
}

// put stores a record as the leader would.
func (b *fixture) put(key string, v any) {
	raw, err := json.Marshal(v)
	require.NoError(b.t, err)
	_, _, err = b.store.ClientFor("leader").Commit(b.t.Context(), keeper.Txn{Put: []keeper.Put{{Key: key, Value: raw}}})
	require.NoError(b.t, err)
}

func TestJobIsAcceptedOnce(t *testing.T) {
	b := newFixture(t)
	for range 3 {
		require.Equal(t, http.StatusOK, b.call("POST", "/k/"+jobID, body, "secret").Code)
	}
	require.Equal(t, http.StatusOK, b.call("GET", "/k/"+jobID, "", "secret").Code)
	require.JSONEq(t, `{"state":"queued"}`, b.call("GET", "/k/"+jobID, "", "secret").Body.String())
	records, _, err := b.store.ClientFor("x").List(t.Context(), orchestrator.JobPrefix)
	require.NoError(t, err)
	require.Len(t, records, 1)
	require.Contains(t, string(records[0].Value), `"customer":"c"`)
}

func TestBadCallsAreRefused(t *testing.T) {
	b := newFixture(t)
	for name, c := range map[string]struct {
		method, path, body, key string
		status                  int
		text                    string
	}{
		"no queue":     {"POST", "/z/" + jobID, body, "", http.StatusNotFound, "no queue"},
		"no key":       {"POST", "/k/" + jobID, body, "", http.StatusUnauthorized, "key"},
		"unknown key":  {"POST", "/k/" + jobID, body, "other", http.StatusUnauthorized, "key"},
		"bad id":       {"POST", "/o/xyz", body, "", http.StatusBadRequest, "16 hexadecimal digits"},
		"malformed":    {"POST", "/o/" + jobID, "{", "", http.StatusBadRequest, "job"},
		"no steps":     {"POST", "/o/" + jobID, `{"spec":"s"}`, "", http.StatusBadRequest, "0 steps"},
		"oversized":    {"POST", "/o/" + jobID, strings.Repeat(" ", 1001) + body, "", http.StatusBadRequest, "too large"},
		"bad method":   {"PATCH", "/o/" + jobID, "", "", http.StatusMethodNotAllowed, ""},
		"unknown job":  {"GET", "/o/" + jobID, "", "", http.StatusGone, ""},
		"count of one": {"GET", "/o/", "", "", http.StatusOK, `{"pending":3}`},
	} {
		w := b.call(c.method, c.path, c.body, c.key)
		require.Equal(t, c.status, w.Code, name)
		require.Contains(t, w.Body.String(), c.text, name)
	}
	require.Zero(t, b.store.Commits())
	w := b.call("DELETE", "/o/"+jobID, "", "")
	require.Equal(t, http.StatusGone, w.Code)
	require.Equal(t, 1, b.store.Commits(), "the job is withdrawn")
	require.Equal(t, http.StatusGone, b.call("GET", "/o/"+jobID, "", "").Code)
}

func TestNothingIsAcceptedWithoutAManifest(t *testing.T) {
	b := newFixture(t)
	b.fleet.manifest = nil
	w := b.call("POST", "/o/"+jobID, body, "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
}

func TestCallsAreRefusedAtOnceWhileTheStoreIsDown(t *testing.T) {
	b := newFixture(t)
	b.fleet.unreachable = true
	w := b.call("POST", "/o/"+jobID, body, "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	require.Contains(t, w.Body.String(), `"verdict":"not-run"`)
	b.fleet.storeSilence = 4 * time.Second
	require.Equal(t, "3", b.call("POST", "/o/"+jobID, body, "").Header().Get("Retry-After"))
	require.Zero(t, b.store.Commits())
	b.fleet.unreachable = false
	b.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = true })
	require.Equal(t, http.StatusServiceUnavailable, b.call("POST", "/o/"+jobID, body, "").Code)
	b.fleet.pending = nil
	require.Equal(t, http.StatusServiceUnavailable, b.call("GET", "/o/", "", "").Code)
}

// While the store may still perform a write, no answer may say that the job
// will never run.
func TestUnansweredWriteIsNotReportedAsRefused(t *testing.T) {
	b := newFixture(t)
	delay := time.Hour
	b.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
		f.LoseCommitResponse = func(keeper.Txn) (bool, time.Duration) { return true, delay }
	})
	w := b.call("POST", "/o/"+jobID, body, "")
	require.Equal(t, http.StatusGatewayTimeout, w.Code)
	require.Contains(t, w.Body.String(), `"verdict":"may-have-run"`)
}

func TestLostAnswerIsReadBack(t *testing.T) {
	b := newFixture(t)
	slow := &lostAnswerStore{Store: b.store.ClientFor("entry")}
	b.a = acceptor.New(slow, b.fleet)
	require.Equal(t, http.StatusOK, b.call("POST", "/o/"+jobID, body, "").Code)
}

// A job that the store can't hold was answered with 504 each time it was sent again.
func TestJobThatCannotBeStoredIsRefused(t *testing.T) {
	b := newFixture(t)
	b.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.MaxValueBytes = 100 })
	w := b.call("POST", "/o/"+jobID, body, "")
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Contains(t, w.Body.String(), `"verdict":"not-run"`)
	require.Equal(t, http.StatusGone, b.call("GET", "/o/"+jobID, "", "").Code)
}

// lostAnswerStore performs writes and loses the answers.
type lostAnswerStore struct{ acceptor.Store }

func (s *lostAnswerStore) Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error) {
	if _, _, err := s.Store.Commit(ctx, txn); err != nil {
		return 0, nil, err
	}
	return 0, nil, keeper.ErrUnknown
}

func TestStateReflectsTheRecords(t *testing.T) {
	b := newFixture(t)
	require.Equal(t, http.StatusOK, b.call("POST", "/o/"+jobID, body, "").Code)
	state := func() string { return b.call("GET", "/o/"+jobID, "", "").Body.String() }
	b.put(orchestrator.ProgressKey(jobID), orchestrator.Progress{State: modeler.Running, Begun: true})
	require.JSONEq(t, `{"state":"running"}`, state())
	require.Equal(t, http.StatusOK, b.call("DELETE", "/o/"+jobID, "", "").Code)
	require.Equal(t, http.StatusOK, b.call("DELETE", "/o/"+jobID, "", "").Code)
	require.JSONEq(t, `{"state":"cancelled"}`, state())
}

func TestOutcomeIsCached(t *testing.T) {
	b := newFixture(t)
	b.put(orchestrator.JobKey(jobID), orchestrator.JobRecord{Outcome: modeler.Completed})
	require.JSONEq(t, `{"state":"completed"}`, b.call("GET", "/o/"+jobID, "", "").Body.String())
	require.Equal(t, http.StatusGone, b.call("DELETE", "/o/"+jobID, "", "").Code)
	b.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = true })
	require.JSONEq(t, `{"state":"completed"}`, b.call("GET", "/o/"+jobID, "", "").Body.String())
}

func TestUnreadableRecordFailsTheCall(t *testing.T) {
	b := newFixture(t)
	b.put(orchestrator.JobKey(jobID), "nonsense")
	require.Equal(t, http.StatusServiceUnavailable, b.call("GET", "/o/"+jobID, "", "").Code)
}

// The load: a customer sends more than can be served in time, so only a part of its
// new jobs is accepted. A refused job is not stored; a job that was accepted before
// its answer got lost stays accepted; jobs that last or run at set times are not
// limited.
func TestOnlyAShareOfTheNewJobsIsAcceptedInOverload(t *testing.T) {
	const other, lasting, timed = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	b := newFixture(t)
	require.Equal(t, http.StatusOK, b.call("POST", "/k/"+jobID, body, "secret").Code)
	b.fleet.limited = map[string]orchestrator.Limitation{"c": {Accept: 0.4, WaitMs: 6000, Cause: refuser.LackOfCores, FreeCores: 1.5, Age: 700 * time.Millisecond}}
	require.Equal(t, http.StatusOK, b.call("POST", "/k/"+jobID, body, "secret").Code)
	w := b.call("POST", "/k/"+other, body, "secret")
	require.Equal(t, http.StatusTooManyRequests, w.Code)
	require.Equal(t, "3", w.Header().Get("Retry-After"))
	require.Contains(t, w.Body.String(), `"verdict":"not-run"`)
	require.Contains(t, w.Body.String(), "cause cores, free cores 1.5, decision received 700ms ago")
	require.Equal(t, http.StatusGone, b.call("GET", "/k/"+other, "", "secret").Code)
	require.Equal(t, http.StatusOK, b.call("POST", "/o/"+other, body, "").Code, "another customer")
	step := modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1, Memory: 1}, Estimate: time.Second}
	long := step
	long.LongRunning = true
	for id, j := range map[string]modeler.Job{
		lasting: {Spec: "s", Steps: []modeler.Step{long}},
		timed:   {Spec: "s", Steps: []modeler.Step{step}, Repeat: 2, Interval: time.Second, FirstDue: time.Unix(1, 0)},
	} {
		raw, err := platform.EncodeJob(j)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, b.call("POST", "/k/"+id, string(raw), "secret").Code, id)
	}
	b.fleet.limited["c"] = orchestrator.Limitation{Accept: 0.6, WaitMs: 6000}
	require.Equal(t, http.StatusOK, b.call("POST", "/k/00000000000000a4", body, "secret").Code)
}

// The load: a customer hands in more jobs than the leader has memory for. Jobs of all
// kinds are refused; one that was accepted before its answer got lost stays accepted.
func TestNewJobsAreRefusedForLackOfMemory(t *testing.T) {
	const timed = `{"spec":"s","steps":[{"count":1,"cpu":500}],"repetitions":2,"interval_ms":1000}`
	for cause, set := range map[string]func(*fleetState){
		"part of the leader's memory": func(f *fleetState) {
			f.limited = map[string]orchestrator.Limitation{"c": {WaitMs: 3000, Cause: refuser.LackOfMemory}}
		},
		"more at once than the leader has memory for": func(f *fleetState) { f.memoryUsedUp = true },
	} {
		b := newFixture(t)
		require.Equal(t, http.StatusOK, b.call("POST", "/k/"+jobID, body, "secret").Code)
		set(b.fleet)
		require.Equal(t, http.StatusOK, b.call("POST", "/k/"+jobID, body, "secret").Code)
		for _, text := range []string{body, timed} {
			w := b.call("POST", "/k/00000000000000a1", text, "secret")
			require.Equal(t, http.StatusTooManyRequests, w.Code)
			require.NotEmpty(t, w.Header().Get("Retry-After"))
			require.Contains(t, w.Body.String(), `"verdict":"not-run"`)
			require.Contains(t, w.Body.String(), cause)
			require.Equal(t, http.StatusGone, b.call("GET", "/k/00000000000000a1", "", "secret").Code)
		}
	}
}

// Guards against jobs that are accepted and wait while all zones are evacuated: new jobs
// of all kinds are refused as not run, with the reason, and are not stored. A job that
// was accepted before its answer got lost stays accepted.
func TestNewJobsAreRefusedWhileAllZonesAreEvacuated(t *testing.T) {
	const other = "00000000000000a1"
	b := newFixture(t)
	require.Equal(t, http.StatusOK, b.call("POST", "/k/"+jobID, body, "secret").Code)
	b.fleet.evacuated = []string{"a", "b"}
	require.Equal(t, http.StatusOK, b.call("POST", "/k/"+jobID, body, "secret").Code)
	w := b.call("POST", "/k/"+other, body, "secret")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Contains(t, w.Body.String(), `"verdict":"not-run"`)
	require.Contains(t, w.Body.String(), "evacuated (a, b)")
	require.Equal(t, http.StatusGone, b.call("GET", "/k/"+other, "", "secret").Code)
	b.fleet.evacuated = nil
	require.Equal(t, http.StatusOK, b.call("POST", "/k/"+other, body, "secret").Code)
}

// A customer must neither read nor cancel the job of another, nor learn that it exists.
func TestJobOfAnotherCustomerIsNotKnown(t *testing.T) {
	for name, prepare := range map[string]func(b *fixture){
		"running job": func(*fixture) {},
		"ended job": func(b *fixture) {
			b.put(orchestrator.JobKey(jobID), orchestrator.JobRecord{Outcome: modeler.Completed, Owner: "c"})
		},
		"ended job in the cache": func(b *fixture) {
			b.put(orchestrator.JobKey(jobID), orchestrator.JobRecord{Outcome: modeler.Completed, Owner: "c"})
			require.Equal(b.t, http.StatusOK, b.call("GET", "/k/"+jobID, "", "secret").Code)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			b.fleet.manifest.Customers = append(b.fleet.manifest.Customers, modeler.Customer{Name: "other", Keys: []string{"others-secret"}})
			b.fleet.manifest.Index()
			require.Equal(t, http.StatusOK, b.call("POST", "/k/"+jobID, body, "secret").Code)
			prepare(b)
			unknown := b.call("GET", "/k/0123456789abcdef", "", "others-secret")
			for _, caller := range []struct{ path, key string }{{"/k/" + jobID, "others-secret"}, {"/o/" + jobID, ""}} {
				for _, method := range []string{"GET", "DELETE"} {
					w := b.call(method, caller.path, "", caller.key)
					require.Equal(t, unknown.Code, w.Code, method)
					require.Equal(t, unknown.Body.String(), w.Body.String(), method)
				}
				require.Equal(t, http.StatusConflict, b.call("POST", caller.path, body, caller.key).Code)
			}
			require.Equal(t, http.StatusUnauthorized, b.call("GET", "/k/"+jobID, "", "withdrawn").Code)
			require.Equal(t, http.StatusOK, b.call("GET", "/k/"+jobID, "", "secret").Code)
			r, err := b.store.ClientFor("x").Get(t.Context(), orchestrator.CancelKey(jobID))
			require.NoError(t, err)
			require.Zero(t, r.Revision, "not cancelled")
		})
	}
}

func TestJobOfAPublicQueueIsKnownToAll(t *testing.T) {
	b := newFixture(t)
	require.Equal(t, http.StatusOK, b.call("POST", "/o/"+jobID, body, "").Code)
	require.Equal(t, http.StatusOK, b.call("GET", "/o/"+jobID, "", "").Code)
	require.Equal(t, http.StatusOK, b.call("GET", "/o/"+jobID, "", "secret").Code)
	require.Equal(t, http.StatusOK, b.call("DELETE", "/o/"+jobID, "", "").Code)
}

// A submission whose write is carried out after the job has been cancelled must not take
// effect. See docs/incidents/2026-12-05-cancelled-job-runs.md.
func TestLateWriteOfACancelledJobTakesNoEffect(t *testing.T) {
	b := newFixture(t)
	delay := 50 * time.Millisecond
	b.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
		f.LoseCommitResponse = func(keeper.Txn) (bool, time.Duration) { return true, delay }
	})
	require.Equal(t, http.StatusGatewayTimeout, b.call("POST", "/k/"+jobID, body, "secret").Code)
	b.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.LoseCommitResponse = nil })
	require.Equal(t, http.StatusGone, b.call("DELETE", "/k/"+jobID, "", "secret").Code)
	time.Sleep(2 * delay)
	r, err := b.store.ClientFor("x").Get(t.Context(), orchestrator.JobKey(jobID))
	require.NoError(t, err)
	var rec orchestrator.JobRecord
	require.NoError(t, json.Unmarshal(r.Value, &rec))
	require.Nil(t, rec.Definition)
	for range 2 {
		require.Equal(t, http.StatusGone, b.call("GET", "/k/"+jobID, "", "secret").Code, "the job was never accepted")
		require.Equal(t, http.StatusGone, b.call("DELETE", "/k/"+jobID, "", "secret").Code)
	}
	require.Equal(t, http.StatusConflict, b.call("POST", "/k/"+jobID, body, "secret").Code)
}

func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	b := newFixture(t)
	accepted := 0
	for i := range 300 {
		if b.call("DELETE", fmt.Sprintf("/o/%016x", i), "", "").Code == http.StatusGone {
			accepted++
		}
	}
	require.Equal(t, 200, accepted)
	w := b.call("DELETE", "/o/"+jobID, "", "")
	require.Equal(t, http.StatusTooManyRequests, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}
