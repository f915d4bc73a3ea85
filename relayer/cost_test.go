package relayer_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/relayer"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
	"github.com/coltsfootlever/coltsfootlever/throttler"
)

const (
	costSideVariable = "RELAYER_COST_SIDE" // set in the process that stands for workers and relays
	costPollWait     = 600 * time.Millisecond
	costRounds       = 3
	costHeapBytes    = 30 << 20               // about as much as a leader's heap, which decides how often it is collected
	costStartPause   = 660 * time.Millisecond // between two starts on a worker
)

var (
	costTime    = flag.Duration("relay-cost", 0, "how long TestCostOfCalls measures each way; 0 skips it")
	costWorkers = flag.Int("relay-workers", 540, "number of workers in TestCostOfCalls")
	costRelays  = flag.Int("relay-count", 3, "number of relays in TestCostOfCalls")
)

// busyWorker is a worker with six runs, of which one ends at each poll.
type busyWorker struct{ report modeler.Report }

func (b busyWorker) Start(context.Context, modeler.Worker, modeler.StartOrder) (int64, error) {
	return 1, nil
}

func (b busyWorker) Stop(context.Context, modeler.Worker, modeler.TaskID, int, int64) error {
	return nil
}

func (b busyWorker) SetPace(context.Context, modeler.Worker, modeler.TaskID, int, int, int64) error {
	return nil
}

func (b busyWorker) RenewAndPoll(ctx context.Context, _ modeler.Worker, _, _, _ int64, wait time.Duration) (modeler.Report, error) {
	return b.report, supervisor.Pause(ctx, wait)
}

func (b busyWorker) Workers(context.Context) ([]modeler.Worker, error) { return nil, nil }

func newBusyWorker() busyWorker {
	r := modeler.Report{StartTimeMs: 1_780_000_000_000, ClockMs: 90_000_000}
	for i := range 6 {
		r.Running = append(r.Running, modeler.RunningTask{Task: modeler.TaskID{Job: "3c27183f8a2380fd", Index: i}, Run: 1, Percent: 100, Metric: 3000})
	}
	r.Ended = []modeler.EndedTask{{Number: 7, Task: modeler.TaskID{Job: "3c27183f8a2380fd", Index: 9}, Run: 1, EndKind: modeler.EndDone}}
	return busyWorker{r}
}

type costSide struct{ Workers, Relays []string }

// TestCostSide is the other process of TestCostOfCalls.
func TestCostSide(t *testing.T) {
	if os.Getenv(costSideVariable) == "" {
		t.Skip("runs only in the other process of TestCostOfCalls")
	}
	var side costSide
	worker := newBusyWorker()
	for i := range *costWorkers {
		s := httptest.NewServer(platform.NewWorkerHandler(worker, func() modeler.Worker { return modeler.Worker{ID: fmt.Sprintf("w%d", i)} }))
		defer s.Close()
		side.Workers = append(side.Workers, strings.TrimPrefix(s.URL, "http://"))
	}
	for range *costRelays {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		side.Relays = append(side.Relays, l.Addr().String())
		go func() { _ = relayer.NewServer(newHTTPWorkers(throttler.New())).Run(t.Context(), l) }()
	}
	raw, err := json.Marshal(side)
	require.NoError(t, err)
	fmt.Println("side " + string(raw))
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n') // until the first process ends
}

func newHTTPWorkers(throttle *throttler.Throttler) *platform.WorkerClient {
	return platform.NewWorkerClient(requester.NewClient(platform.NewTransport(3)), throttle)
}

// startCostSide starts the other process and returns its addresses.
func startCostSide(t *testing.T) (side costSide) {
	cmd := exec.Command(os.Args[0], "-test.run=^TestCostSide$", fmt.Sprint("-relay-workers=", *costWorkers), fmt.Sprint("-relay-count=", *costRelays))
	cmd.Env = append(os.Environ(), costSideVariable+"=1")
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if raw, ok := strings.CutPrefix(lines.Text(), "side "); ok {
			require.NoError(t, json.Unmarshal([]byte(raw), &side))
			return side
		}
	}
	t.Fatal("the other process has ended")
	return side
}

// processorTime returns the processor time of this process.
func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// callCost is what calls to workers cost the leader.
type callCost struct {
	rate    float64       // calls a second
	perCall time.Duration // processor time
	cores   float64
	start   time.Duration // mean time of a start
	heapKB  uint64        // with the stacks
}

// callBusily polls and starts on all workers for some time.
func callBusily(t *testing.T, workers relayer.Workers, list []modeler.Worker, d time.Duration) (r callCost) {
	ctx, cancel := context.WithCancel(t.Context())
	var calls, starts, startNanos atomic.Int64
	var failed sync.Map
	var running sync.WaitGroup
	for i := range list {
		w := list[i]
		running.Go(func() {
			for ctx.Err() == nil {
				if _, err := workers.RenewAndPoll(ctx, w, 1, 1, 1, costPollWait); err != nil && ctx.Err() == nil {
					failed.Store(err.Error(), true)
				}
				calls.Add(1)
			}
		})
		running.Go(func() {
			_ = supervisor.Pause(ctx, costStartPause*time.Duration(i)/time.Duration(len(list)))
			for supervisor.Pause(ctx, costStartPause) == nil {
				o := modeler.StartOrder{Task: modeler.TaskID{Job: "3c27183f8a2380fd"}, Run: 1, Spec: strings.Repeat("s", 500), DeadlineMs: 90_000_000, FencingToken: 1}
				sentAt := time.Now()
				if _, err := workers.Start(ctx, w, o); err != nil && ctx.Err() == nil {
					failed.Store(err.Error(), true)
				}
				startNanos.Add(int64(time.Since(sentAt)))
				starts.Add(1)
				calls.Add(1)
			}
		})
	}
	time.Sleep(3 * time.Second) // connections and streams are open then
	began, used, before := time.Now(), processorTime(t), calls.Load()
	time.Sleep(d)
	used, n, took := processorTime(t)-used, calls.Load()-before, time.Since(began)
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	heap := memory.HeapAlloc + memory.StackInuse - costHeapBytes
	cancel()
	running.Wait()
	failed.Range(func(err, _ any) bool {
		t.Errorf("call failed: %v", err)
		return true
	})
	return callCost{float64(n) / took.Seconds(), used / time.Duration(n), used.Seconds() / took.Seconds(), time.Duration(startNanos.Load() / starts.Load()), heap >> 10}
}

// TestCostOfCalls measures the leader's processor time for calls to workers,
// directly and through relays; workers and relays are in another process:
//
//	go test ./relayer -run TestCostOfCalls -relay-cost 8s -v
func TestCostOfCalls(t *testing.T) {
	if *costTime == 0 {
		t.Skip("runs only with -relay-cost")
	}
	side := startCostSide(t)
	var list []modeler.Worker
	for i, address := range side.Workers {
		list = append(list, modeler.Worker{ID: fmt.Sprintf("w%d", i), Address: address, Zone: "z"})
	}
	defer runtime.KeepAlive(make([]byte, costHeapBytes))
	throttle := throttler.New()
	direct := newHTTPWorkers(throttle)
	var relays []relayer.Registration
	for i, address := range side.Relays {
		relays = append(relays, relayer.Registration{Name: fmt.Sprintf("r%d", i), Address: address, Zone: "z", ProcessorShare: 0.8, LinkMbps: 200})
	}
	relayed := relayer.NewClient(direct, 1, "leader", throttle, func(context.Context) ([]relayer.Registration, error) { return relays, nil },
		relayer.WithUse(func(int, bool) bool { return true }))
	relayed.SetWorkers(list)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { relayed.Run(ctx) })
	defer running.Wait()
	defer cancel()
	for range costRounds {
		for _, way := range []struct {
			name    string
			workers relayer.Workers
		}{{"no call", newBusyWorker()}, {"directly", direct}, {"by relays", relayed}} {
			r := callBusily(t, way.workers, list, *costTime)
			t.Logf("%9s: %.0f calls a second, %v a call, %.4f cores, a start takes %v, heap and stacks %d KB", way.name, r.rate, r.perCall, r.cores, r.start, r.heapKB)
		}
	}
}

// BenchmarkAssign measures a round of assignments in which nothing changes, at the
// design size.
func BenchmarkAssign(b *testing.B) {
	var workers []relayer.AssignedWorker
	for i := range 1100 {
		workers = append(workers, relayer.AssignedWorker{ID: fmt.Sprintf("worker-%d", i), Zone: fmt.Sprint(i % 6)})
	}
	var relays []relayer.Relay
	for i := range 8 {
		relays = append(relays, relayer.Relay{Name: fmt.Sprint(i), Zone: fmt.Sprint(i % 4), ProcessorShare: 0.8, LinkMbps: 200})
	}
	assigned := relayer.Assign(nil, workers, relays)
	for b.Loop() {
		assigned = relayer.Assign(assigned, workers, relays)
	}
}
