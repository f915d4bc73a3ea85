package crowder

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

// ServeProgram is the command that runs an entry as a daemon.
const ServeProgram = "serve"

const (
	operatorKey    = "operator-key-of-the-crowd-run-0123456789"
	slotsPerWorker = 2
	listDelay      = 0
	rebootTime     = time.Second
	rulesText      = `pool bulk # asked by Cora
pool inquiries # asked by Cora
team crowd customer crowd share 1 limit 100 # asked by Ana
team leads customer foundation share 1 limit 100 # asked by Ana
queue bulk team crowd open service router pool bulk bound 500 # asked by Ana
queue inquiry team leads open service router pool inquiries bound 500 # asked by Ana
`
)

// serveSystem runs the program's command "serve" with the platform that it needs.
type serveSystem struct {
	standIns
	storeAddress, listAddress string
	listenersOf               map[Listener]string
}

// newServeSystem starts the platform: a store, a worker for each pool and the instance
// list.
func newServeSystem() (system, error) {
	s := &serveSystem{}
	instances, workers := emulator.NewPlatform(listDelay, rebootTime, nil), &emulator.Fleet{}
	free, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	s.listenersOf = map[Listener]string{Callers: free[0], Peers: free[1], Operators: free[2], Metrics: free[3]}
	for _, pool := range []string{"bulk", "inquiries"} {
		var address string
		address, err = s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { workers.Handler(address).ServeHTTP(w, r) }))
		if err != nil {
			return nil, err
		}
		workers.Add(address, emulator.NewWorker("worker-"+pool, slotsPerWorker, nil))
		instances.Add(lister.Listing{ID: "worker-" + pool, Kind: lister.WorkerKind, Address: address, Zone: "zone-a", Rack: "rack-0", Slots: slotsPerWorker, Pool: pool})
	}
	instances.Add(lister.Listing{ID: "entry-1", Kind: lister.EntryKind, Address: s.listenersOf[Peers], Zone: "zone-a"})
	if s.storeAddress, err = s.serve(emulator.NewStore().Handler()); err != nil {
		return nil, err
	}
	if s.listAddress, err = s.serve(instances.Handler()); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *serveSystem) start(opts *Options) (*process, error) {
	args := []string{
		ServeProgram, "--instance", "entry-1", "--zone", "zone-a", "--callers", s.listenersOf[Callers], "--peers", s.listenersOf[Peers],
		"--operators", s.listenersOf[Operators], "--metrics", s.listenersOf[Metrics], "--store", "http://" + s.storeAddress, "--instance-list", "http://" + s.listAddress,
	}
	help, err := exec.Command(opts.Program, ServeProgram, "--help").CombinedOutput()
	if err != nil {
		return nil, errors.Annotatef(err, "%s serve --help", opts.Program)
	}
	for name, value := range map[string]int64{"--memory-mb": opts.MemoryMB, "--max-descriptors": opts.MaxDescriptors} {
		if strings.Contains(string(help), name) { // an earlier version of the program may lack it
			args = append(args, name, strconv.FormatInt(value, 10))
		}
	}
	p, err := startProcess(opts.Program, opts.Dir, []string{"COLTSFOOTLEVER_OPERATOR_KEY=" + operatorKey}, args...)
	if err != nil {
		return nil, err
	}
	if err := s.applyRules(); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

// applyRules puts the rules in force as soon as the program accepts them.
func (s *serveSystem) applyRules() error {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	for {
		_, err := operator.NewClient([]string{s.listenersOf[Operators]}, operatorKey).Apply(ctx, operator.ApplyRequest{Text: rulesText})
		if err == nil {
			return nil
		}
		if supervisor.Pause(ctx, retryPause) != nil {
			return errors.Annotate(err, "rules not in force")
		}
	}
}

func (s *serveSystem) address(l Listener) string { return s.listenersOf[l] }

func (s *serveSystem) target(l Listener) requestTarget {
	switch l {
	case Operators:
		return requestTarget{method: http.MethodPut, host: s.listenersOf[l], path: operator.Prefix + "/rules", readPath: operator.Prefix + "/rules", headers: []string{"Authorization: Bearer " + operatorKey}}
	case Metrics:
		return requestTarget{method: http.MethodGet, host: s.listenersOf[l], path: "/metrics", readPath: "/metrics"}
	default:
		return requestTarget{method: http.MethodPost, host: s.listenersOf[l], path: "/v1/queues/bulk/jobs", readPath: "/v1/jobs/unknown", headers: []string{admitter.IdempotentHeader + ": true", "Prefer: respond-async"}}
	}
}

// newOrdinaryRequest returns a request of a small task of a queue that the crowd does not
// use.
func (s *serveSystem) newOrdinaryRequest(ctx context.Context) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/queues/inquiry/jobs", s.listenersOf[Callers]), strings.NewReader(`{"sleep-ms":10}`))
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Header.Set(admitter.IdempotentHeader, "true")
	return r, nil
}

// awaitEnd implements system. An ordinary request is answered when its task has ended.
func (s *serveSystem) awaitEnd(context.Context, *http.Client) error { return nil }
