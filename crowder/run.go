package crowder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

// RunProgram is the command that runs an entry on the platform.
const RunProgram = "run"

const (
	queueHost       = "queue.crowd"
	crowdPrefix     = "/bulk/"
	ordinaryPrefix  = "/jobs/"
	crowdKey        = "key-of-crowd"
	ordinaryKey     = "key-of-ana"
	maxBody         = 256 << 10
	workerMilliCPU  = 64_000
	workerMB        = 64_000
	taskTime        = 100 * time.Millisecond
	moveTime        = time.Second
	maintenanceTime = time.Second
)

// runSystem runs the program's command "run" with the platform that it needs.
type runSystem struct {
	standIns
	settings    platform.Settings
	requests    int
	listenersOf map[Listener]string
}

// newRunSystem starts the platform: a store with a manifest, a worker and the instance
// service.
func newRunSystem() (system, error) {
	s := &runSystem{}
	fleet := emulator.NewTaskFleet(func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return taskTime, modeler.EndDone })
	instances := emulator.NewInstanceService(fleet, moveTime, maintenanceTime)
	worker, err := s.serve(platform.NewWorkerHandler(fleet, func() modeler.Worker { return modeler.Worker{ID: instances.WorkerOf("m0")} }))
	if err != nil {
		return nil, err
	}
	instances.WorkerAddress = func(string) string { return worker }
	instances.Add(modeler.Instance{
		Name: "m0", Pool: "pool", Zone: "zone-0", Labels: []string{"kind", "rack-0"}, Capacity: modeler.Resources{CPU: workerMilliCPU, Memory: workerMB},
	}, true)
	store := emulator.NewMetaStore()
	if err := putManifest(store); err != nil {
		return nil, err
	}
	storeAddress, err := s.serve(platform.NewStoreHandler(store.ClientFor("entries"), fleet))
	if err != nil {
		return nil, err
	}
	instancesAddress, err := s.serve(platform.NewInstanceHandler(instances.ClientFor("entries")))
	if err != nil {
		return nil, err
	}
	free, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	s.listenersOf = map[Listener]string{Callers: free[0], Readiness: free[1], Metrics: free[2]}
	s.settings = platform.Settings{
		Instance: "entry-0", Zone: "zone-0", ProcessorShare: 1, CallersAddress: free[0], ReadinessAddress: free[1], MetricsAddress: free[2],
		StoreAddress: storeAddress, StoreWritesPerSecond: 400, StoreReadsPerSecond: 2000, InstancesAddress: instancesAddress, InstanceOrdersPerSecond: 64,
		Bounds: platform.Bounds{
			MaxLease: 10 * time.Second, StateRetention: 2 * time.Minute, MoveTime: moveTime, MaintenanceTime: maintenanceTime, MaxStopTime: time.Second, ContactTime: 3 * time.Second,
		},
	}
	return s, nil
}

// putManifest writes a manifest with a queue and a customer for the crowd, and others for
// ordinary callers.
func putManifest(store *emulator.MetaStore) error {
	newQueue := func(name, prefix string) modeler.Queue {
		return modeler.Queue{Name: name, Host: queueHost, Prefix: prefix, Pool: "pool", MaxFailedRuns: 3, ObjectiveFactor: 2, ObjectiveOffset: time.Second}
	}
	newCustomer := func(name, key string) modeler.Customer {
		return modeler.Customer{Name: name, Keys: []string{key}, Weight: 1}
	}
	raw, err := platform.EncodeManifest(&modeler.Manifest{
		Version: 1, MaxBody: maxBody, Pools: []modeler.Pool{{Name: "pool"}},
		Queues:    []modeler.Queue{newQueue("bulk", crowdPrefix), newQueue("queue", ordinaryPrefix)},
		Customers: []modeler.Customer{newCustomer("crowd", crowdKey), newCustomer("ana", ordinaryKey)},
	})
	if err != nil {
		return err
	}
	store.PutAsOperator(keeper.Put{Key: platform.ManifestKey, Value: raw})
	return nil
}

func (s *runSystem) start(opts *Options) (*process, error) {
	s.settings.MemoryMB, s.settings.MaxDescriptors = opts.MemoryMB, opts.MaxDescriptors
	raw, err := platform.EncodeSettings(s.settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(opts.Dir, "entry-0.yaml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	return startProcess(opts.Program, opts.Dir, nil, RunProgram, "--settings", path)
}

func (s *runSystem) address(l Listener) string { return s.listenersOf[l] }

func (s *runSystem) target(l Listener) requestTarget {
	switch l {
	case Readiness:
		return requestTarget{method: http.MethodGet, host: s.settings.ReadinessAddress, path: platform.PathReadiness, readPath: platform.PathReadiness}
	case Metrics:
		return requestTarget{method: http.MethodGet, host: s.settings.MetricsAddress, path: meter.Path, readPath: meter.Path}
	default:
		return requestTarget{
			method: http.MethodPost, host: queueHost, path: crowdPrefix, readPath: crowdPrefix, numbered: true,
			headers: []string{"Authorization: Bearer " + crowdKey, "Content-Type: application/json"},
		}
	}
}

// newOrdinaryRequest returns the request that submits the next small job.
func (s *runSystem) newOrdinaryRequest(ctx context.Context) (*http.Request, error) {
	raw, err := platform.EncodeJob(modeler.Job{Spec: "ordinary", Steps: []modeler.Step{{Count: 1, Need: modeler.Resources{CPU: 100, Memory: 10}, Estimate: taskTime}}})
	if err != nil {
		return nil, err
	}
	s.requests++
	return s.newRequest(ctx, http.MethodPost, raw)
}

// newRequest returns a request about the last job.
func (s *runSystem) newRequest(ctx context.Context, method string, body []byte) (*http.Request, error) {
	url := fmt.Sprintf("http://%s%s%016x", s.settings.CallersAddress, ordinaryPrefix, s.requests)
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Host = queueHost
	r.Header.Set("Authorization", "Bearer "+ordinaryKey)
	return r, nil
}

func (s *runSystem) awaitEnd(ctx context.Context, client *http.Client) error {
	for {
		r, err := s.newRequest(ctx, http.MethodGet, nil)
		if err != nil {
			return err
		}
		if res, err := client.Do(r); err == nil {
			body, err := io.ReadAll(io.LimitReader(res.Body, kiB))
			_ = res.Body.Close() // the body has been read
			if state, stateErr := platform.ParseState(body); err == nil && stateErr == nil && state == modeler.Completed {
				return nil
			}
		}
		if err := supervisor.Pause(ctx, retryPause); err != nil {
			return errors.Annotatef(err, "job %016x has not ended", s.requests)
		}
	}
}
