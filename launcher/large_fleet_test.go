package launcher_test

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/launcher"
	"github.com/coltsfootlever/coltsfootlever/logger"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

const (
	largeFleetPools     = 4
	largeFleetWorkers   = 540
	largeFleetJobRate   = 63 // jobs a second in all queues
	largeFleetWarmUp    = 3 * time.Second
	largeFleetTaskTime  = 800 * time.Millisecond
	largeFleetStepCount = 8               // mean number of tasks in a step
	largeFleetTurn      = 3 * time.Second // of a queue that gets all jobs
)

var (
	largeFleetTime    = flag.Duration("large-fleet", 0, "how long TestLargeFleet runs; 0 skips it")
	largeFleetSurge   = flag.Float64("large-fleet-surge", 0, "the queues get all jobs in turn, at this multiple of the usual rate; 0 gives each queue its part of the usual rate")
	largeFleetOthers  = flag.Int("large-fleet-others", 0, "number of further entry nodes in TestLargeFleet")
	largeFleetRelays  = flag.Bool("large-fleet-relays", true, "whether they carry calls of the leader")
	largeFleetProfile = flag.String("large-fleet-profile", "", "file for the CPU profile of TestLargeFleet; samples of the leader have the label role=leader")
)

// countingHandler counts the calls of the platform's side, and the bytes of their
// bodies by path.
type countingHandler struct {
	handler http.Handler
	calls   *atomic.Int64
	bytes   *bytesByPath
}

func (h countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.calls.Add(1)
	path := r.URL.Path
	if prefix := r.URL.Query().Get("prefix"); prefix != "" {
		path += " " + prefix
	}
	h.bytes.add("sent "+path, max(0, r.ContentLength))
	h.handler.ServeHTTP(countingWriter{w, h.bytes, "received " + path}, r)
}

// countingWriter counts the bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	bytes *bytesByPath
	path  string
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.bytes.add(w.path, int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// bytesByPath counts bytes that the leader has sent or received.
type bytesByPath struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (b *bytesByPath) add(path string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[path] += n
}

// shares returns a line for each path with at least one in a hundred of the bytes
// that were sent or received since the last call, the largest first.
func (b *bytesByPath) shares(seconds float64) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines strings.Builder
	for _, direction := range []string{"sent", "received"} {
		var paths []string
		sum := int64(0)
		for path, n := range b.counts {
			if strings.HasPrefix(path, direction) {
				paths, sum = append(paths, path), sum+n
			}
		}
		slices.SortFunc(paths, func(x, y string) int { return cmp.Compare(b.counts[y], b.counts[x]) })
		for _, path := range paths {
			if share := 100 * b.counts[path] / max(1, sum); share > 0 {
				_, _ = fmt.Fprintf(&lines, "\n%3d %% of %.0f KB a second %s", share, float64(sum)/1024/seconds, path) // writing to a Builder doesn't fail
			}
		}
	}
	clear(b.counts)
	return lines.String()
}

// largeFleet emulates the platform of a large deployment over loopback HTTP.
type largeFleet struct {
	store                        *emulator.MetaStore
	tasks                        *emulator.TaskFleet
	instances                    *emulator.InstanceService
	workerCalls, storeCalls      atomic.Int64
	bytes                        bytesByPath
	firstStarts                  firstStarts
	storeAddress, instancesAddrs string
}

// firstStarts measures how long jobs wait for the start of their first task.
type firstStarts struct {
	mu        sync.Mutex
	submitted map[string]time.Time // by ID of jobs of which no task has started
	waits     []time.Duration
}

func (s *firstStarts) submit(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submitted[job] = time.Now()
}

func (s *firstStarts) start(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.submitted[job]; ok {
		delete(s.submitted, job)
		s.waits = append(s.waits, time.Since(at))
	}
}

// String returns the quantiles of the waits.
func (s *firstStarts) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waits) == 0 {
		return "no job has started"
	}
	slices.Sort(s.waits)
	quantile := func(q float64) string {
		return s.waits[int(q*float64(len(s.waits)-1))].Round(time.Millisecond).String()
	}
	return fmt.Sprintf("first starts of %d jobs after %s (tenth), %s (half), %s (nine tenths); %d not started", len(s.waits), quantile(0.1), quantile(0.5), quantile(0.9), len(s.submitted))
}

func newLargeFleet(t *testing.T, workers int) *largeFleet {
	f := &largeFleet{store: emulator.NewMetaStore(), bytes: bytesByPath{counts: make(map[string]int64)}, firstStarts: firstStarts{submitted: make(map[string]time.Time)}}
	f.tasks = emulator.NewTaskFleet(func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
		f.firstStarts.start(id.Job)
		h := fnv.New32a()
		_, _ = h.Write([]byte(id.String()))
		return largeFleetTaskTime/2 + time.Duration(h.Sum32())%largeFleetTaskTime, modeler.EndDone
	})
	f.instances = emulator.NewInstanceService(f.tasks, 1500*time.Millisecond, 2*time.Second)
	serve := func(h http.Handler, calls *atomic.Int64) string {
		s := httptest.NewServer(countingHandler{h, calls, &f.bytes})
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	addresses := make(map[string]string)
	f.instances.WorkerAddress = func(name string) string { return addresses[name] }
	m := &modeler.Manifest{Version: 1, MaxBody: 1 << 18, Pools: []modeler.Pool{{Name: "spare", Spare: true}}, Customers: []modeler.Customer{{Name: "c", Keys: []string{"k"}, Weight: 1}}}
	for i := range largeFleetPools {
		pool := fmt.Sprintf("p%d", i)
		m.Pools = append(m.Pools, modeler.Pool{Name: pool})
		m.Queues = append(m.Queues, modeler.Queue{Name: "q" + pool, Host: "h", Prefix: "/" + pool + "/", Pool: pool, MaxFailedRuns: 3, ObjectiveFactor: 1.6, ObjectiveOffset: 600 * time.Millisecond})
	}
	for i := range workers {
		name := fmt.Sprintf("m%d", i)
		addresses[name] = serve(platform.NewWorkerHandler(f.tasks, func() modeler.Worker { return modeler.Worker{ID: f.instances.WorkerOf(name)} }), &f.workerCalls)
		f.instances.Add(modeler.Instance{
			Name: name, Pool: m.Pools[1+i%largeFleetPools].Name, Zone: "z", Labels: []string{"kind", fmt.Sprintf("rack-%d", i/20)}, Capacity: modeler.Resources{CPU: 32_000, Memory: 131_072},
		}, true)
	}
	raw, err := platform.EncodeManifest(m)
	require.NoError(t, err)
	f.store.PutAsOperator(keeper.Put{Key: platform.ManifestKey, Value: raw})
	f.storeAddress = serve(platform.NewStoreHandler(f.store.ClientFor("entry"), f.tasks), &f.storeCalls)
	f.instancesAddrs = serve(platform.NewInstanceHandler(f.instances.ClientFor("entry")), &f.storeCalls)
	return f
}

// submitJobs stores jobs at the rate of a large deployment until ctx ends.
func (f *largeFleet) submitJobs(ctx context.Context) int {
	client := f.store.ClientFor("callers")
	rng := rand.New(rand.NewPCG(1, 2))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / largeFleetJobRate / cmp.Or(*largeFleetSurge, 1)))
	defer ticker.Stop()
	began := time.Now()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return n
		case <-ticker.C:
		}
		queue := rng.IntN(largeFleetPools)
		if *largeFleetSurge > 0 {
			queue = int(time.Since(began)/largeFleetTurn) % largeFleetPools
		}
		j := modeler.Job{
			ID: fmt.Sprintf("%016x", n), Queue: fmt.Sprintf("qp%d", queue), Customer: "c", Spec: strings.Repeat("s", 500), Accepted: time.Now(),
			QueueSettings: &modeler.QueueSettings{},
		}
		for i := range 1 + rng.IntN(2) {
			s := modeler.Step{Count: 1 + rng.IntN(2*largeFleetStepCount), Need: modeler.Resources{CPU: 4500, Memory: 13_000}, Estimate: largeFleetTaskTime}
			if i > 0 {
				s.After = []int{i - 1}
			}
			j.Steps = append(j.Steps, s)
		}
		f.firstStarts.submit(j.ID)
		_, _, _ = client.Commit(ctx, keeper.Txn{
			Expect: []keeper.Expectation{{Key: orchestrator.JobKey(j.ID)}},
			Put:    []keeper.Put{{Key: orchestrator.JobKey(j.ID), Value: orchestrator.EncodeJobRecord(&j)}},
		})
	}
}

// writeSettings writes the settings file of an entry node and returns its path.
func (f *largeFleet) writeSettings(t *testing.T, name string, processorShare float64) string {
	raw, err := platform.EncodeSettings(platform.Settings{
		Instance: name, Zone: "z", ProcessorShare: processorShare, MemoryMB: 536, CallersAddress: freeAddress(t), ReadinessAddress: freeAddress(t),
		MetricsAddress: freeAddress(t), RelayAddress: freeAddress(t),
		StoreAddress: f.storeAddress, StoreWritesPerSecond: 3200, StoreReadsPerSecond: 16_000, InstancesAddress: f.instancesAddrs, InstanceOrdersPerSecond: 64,
		Bounds: platform.Bounds{MaxLease: 10 * time.Second, StateRetention: 2 * time.Minute, MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second, MaxStopTime: 400 * time.Millisecond, ContactTime: 5 * time.Second},
	})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	return path
}

// TestLargeFleet runs one entry node, which leads, at the size and load of a
// large deployment and prints what the platform's side saw, how long jobs waited for
// their first start, and what shares of the leader's bytes each kind of call has. With a profile it
// shows where the leader's processor time goes:
//
//	go test ./launcher -run TestLargeFleet -large-fleet 20s -large-fleet-profile leader.prof -v
//	go tool pprof -tagfocus role=leader -top -cum launcher/leader.prof
func TestLargeFleet(t *testing.T) {
	if *largeFleetTime == 0 {
		t.Skip("runs only with -large-fleet")
	}
	f := newLargeFleet(t, largeFleetWorkers)
	var lines bytes.Buffer
	log, w := logger.New(&lines, slog.LevelInfo)
	entryNode, err := launcher.New(f.writeSettings(t, "entry", 1), launcher.WithLog(log), launcher.WithRelays(*largeFleetRelays))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go pprof.Do(ctx, pprof.Labels("role", "leader"), func(ctx context.Context) { stopped <- entryNode.Run(ctx) })
	for i := range *largeFleetOthers {
		time.Sleep(time.Second / 2) // the first entry node leads by then
		relay, err := launcher.New(f.writeSettings(t, fmt.Sprintf("relay%d", i), 0.8), launcher.WithRelays(*largeFleetRelays))
		require.NoError(t, err)
		relayStopped := make(chan error, 1)
		go func() { relayStopped <- relay.Run(ctx) }()
		defer func() { <-relayStopped }()
	}
	time.Sleep(largeFleetWarmUp)
	if *largeFleetOthers > 0 {
		time.Sleep(2 * largeFleetWarmUp) // until the leader has read the registrations
	}
	if *largeFleetProfile != "" {
		file, err := os.Create(*largeFleetProfile)
		require.NoError(t, err)
		defer func() { require.NoError(t, file.Close()) }()
		require.NoError(t, pprof.StartCPUProfile(file))
		defer pprof.StopCPUProfile()
	}
	f.bytes.shares(1) // forgets those of the warm-up
	calls, storeCalls, began := f.workerCalls.Load(), f.storeCalls.Load(), time.Now()
	loadCtx, stopLoad := context.WithTimeout(ctx, *largeFleetTime)
	defer stopLoad()
	jobs := f.submitJobs(loadCtx)
	took := time.Since(began).Seconds()
	calls, storeCalls = f.workerCalls.Load()-calls, f.storeCalls.Load()-storeCalls
	cancel()
	<-stopped
	w.Close(time.Second)
	t.Logf("a second: %.0f jobs, %.0f calls to workers, %.0f calls to the store; %.0f KB of log lines, %.0f lines",
		float64(jobs)/took, float64(calls)/took, float64(storeCalls)/took, float64(lines.Len())/1024/took, float64(bytes.Count(lines.Bytes(), []byte("\n")))/took)
	t.Log(f.firstStarts.String())
	for line := range strings.Lines(lines.String()) {
		if strings.Contains(line, `"relay":`) {
			t.Log(strings.TrimSpace(line))
		}
	}
	var metrics bytes.Buffer
	meter.Write(&metrics)
	for line := range strings.Lines(metrics.String()) {
		if strings.Contains(line, "relay") && !strings.HasPrefix(line, "#") {
			t.Log(strings.TrimSpace(line))
		}
	}
	t.Logf("bytes of bodies:%s", f.bytes.shares(took))
	require.Empty(t, f.tasks.Violations())
}
