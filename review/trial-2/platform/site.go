package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

// The deployment: one service with the workers of a small site.
const (
	workerCount     = 9
	workerCPU       = 32000
	workerMB        = 64000
	workersPerRack  = 4
	zoneCount       = 3
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	serviceName     = "router"
	queueHost       = "pule25.example"
	queuePrefix     = "/puxa400/"
	customerKey     = "key-1"
)

type (
	// siteOptions tells what differs between the cases.
	siteOptions struct {
		outcome   func(id modeler.TaskID, run int) (time.Duration, modeler.EndKind)
		advice    *adviceService // nil for a queue without advice
		wrapStore func(http.Handler) http.Handler
	}

	// workers are the stand-ins of the workers. If the queue has advice they start a
	// task only with a valid ticket.
	workers struct {
		*emulator.TaskFleet
		advice *adviceService
	}
)

// Start implements platform.EmulatedWorkers.
func (f *workers) Start(ctx context.Context, w modeler.Worker, o modeler.StartOrder) (int64, error) {
	if f.advice != nil && !f.advice.isValid(o.Ticket) {
		return 0, modeler.ErrInvalidTicket
	}
	return f.TaskFleet.Start(ctx, w, o)
}

// runningJobs returns the jobs of which something runs, and the CPU in use.
func (f *workers) runningJobs(cpuOf func(job string) int) (running map[string]bool, cpu int) {
	running = make(map[string]bool)
	for _, tasks := range f.RunningTasks() {
		for _, task := range tasks {
			running[task.Job] = true
			cpu += cpuOf(task.Job)
		}
	}
	return running, cpu
}

// startSite starts the stand-ins and the entries, and waits until an entry answers.
func (t *trial) startSite(opts siteOptions) (*workers, error) {
	fleet := &workers{emulator.NewTaskFleet(opts.outcome), opts.advice}
	cloud, err := t.startWorkers(fleet)
	if err != nil {
		return nil, err
	}
	store := http.Handler(platform.NewStoreHandler(t.store.ClientFor("entries"), fleet))
	if opts.wrapStore != nil {
		store = opts.wrapStore(store)
	}
	var s site
	advice := ""
	if s.store, err = t.serve(store); err != nil {
		return nil, err
	}
	if s.cloud, err = t.serve(cloud); err != nil {
		return nil, err
	}
	if opts.advice != nil {
		if s.advice, err = t.serve(opts.advice); err != nil {
			return nil, err
		}
		advice = `,"advice":` + opts.advice.manifestEntry()
	}
	t.putAsOperator(platform.ManifestKey, manifest(advice))
	if err := t.startEntries(s); err != nil {
		return nil, err
	}
	return fleet, t.awaitReady()
}

// startWorkers starts the workers and returns the handler of the service that lists
// and moves their machines.
func (t *trial) startWorkers(fleet *workers) (http.Handler, error) {
	instances := emulator.NewInstanceService(fleet.TaskFleet, moveTime, maintenanceTime)
	addresses := make(map[string]string)
	instances.WorkerAddress = func(name string) string { return addresses[name] }
	for i := range workerCount {
		name := fmt.Sprintf("m-%d", i)
		address, err := t.serve(platform.NewWorkerHandler(fleet, func() modeler.Worker { return modeler.Worker{ID: instances.WorkerOf(name)} }))
		if err != nil {
			return nil, err
		}
		addresses[name] = address
		instances.Add(modeler.Instance{
			Name: name, Pool: serviceName, Zone: zoneName(i), Labels: []string{"a", fmt.Sprintf("r1-%d", i/workersPerRack)},
			Capacity: modeler.Resources{CPU: workerCPU, Memory: workerMB},
		}, true)
	}
	return platform.NewInstanceHandler(instances.ClientFor("entries")), nil
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

// manifest returns the operator's manifest with one queue, which may have advice.
func manifest(advice string) string {
	return fmt.Sprintf(`{"version":1,"routes":[{"name":"r-1","host":%q,"prefix":%q,"kind":"unsafe","timeout_ms":3000,"target_latency_ms":600,`+
		`"priority":0,"service":%q,"attempts":4,"stretch":1.6,"public":false%s}],`+
		`"services":[{"name":%q,"health_path":"/health","admission_check":false}],`+
		`"tenants":[{"name":"t-1","keys":[%q],"weight":1,"maximum":{"cpu":0,"mem_mb":0,"gpu":0}}],"limits":{"max_body_bytes":262144}}`,
		queueHost, queuePrefix, serviceName, advice, serviceName, customerKey)
}

// awaitReady waits until an entry answers for the queue and the leader has polled the
// workers.
func (t *trial) awaitReady() error {
	for range 200 {
		if status, _, err := t.call(t.entries[0], http.MethodGet, "", ""); err == nil && status == http.StatusOK {
			time.Sleep(2 * time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no entry answers")
}
