package supervisor

import (
	"context"
	"log/slog"
	"sync"

	"github.com/juju/errors"
)

type (
	// Service is a long-running part of the process. Run returns when ctx ends
	// or when the service cannot continue.
	Service interface {
		Run(ctx context.Context) error
	}

	// Group holds the services of one process by name.
	Group struct {
		log    *slog.Logger
		mu     sync.Mutex
		names  []string // in order of registration
		byName map[string]any
	}

	// Func is a Service that consists of one function.
	Func func(ctx context.Context) error
)

// Run implements Service.
func (f Func) Run(ctx context.Context) error {
	return f(ctx)
}

// NewGroup returns an empty group.
func NewGroup(log *slog.Logger) *Group {
	return &Group{log: log, byName: make(map[string]any)}
}

// Register adds a service under a name. It returns an AlreadyExists error when
// the name is in use.
func (g *Group) Register(name string, service any) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, exists := g.byName[name]; exists {
		return errors.AlreadyExistsf("service %q", name)
	}
	g.names = append(g.names, name)
	g.byName[name] = service
	return nil
}

// Find returns the service registered under name, converted to type T. It
// returns a NotFound error when the name is not registered and a NotValid error
// when the service is not a T.
func Find[T any](g *Group, name string) (T, error) {
	var zero T
	g.mu.Lock()
	service, ok := g.byName[name]
	g.mu.Unlock()
	if !ok {
		return zero, errors.NotFoundf("service %q", name)
	}
	typed, ok := service.(T)
	if !ok {
		return zero, errors.NotValidf("using service %q of type %T as type %T is", name, service, zero)
	}
	return typed, nil
}

// Names returns the names of the registered services in order of registration.
func (g *Group) Names() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.names...)
}

// Run runs every registered Service until ctx ends or one of them fails, then
// stops all of them. It skips registered values that do not implement Service.
// The services stop one at a time, the last registered first, so that a service
// can use those registered before it until it has stopped itself. Run returns
// the error of the first service that failed, or nil when none did.
func (g *Group) Run(ctx context.Context) error {
	failures := make(chan error, 1)
	var running []*runningService
	for _, name := range g.Names() {
		service, ok := g.byName[name].(Service)
		if !ok {
			continue
		}
		running = append(running, g.start(context.WithoutCancel(ctx), name, service, failures))
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failures:
	}
	for i := len(running) - 1; i >= 0; i-- {
		running[i].stop()
	}
	return err
}

// runningService is a service that has been started.
type runningService struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// stop cancels the context of the service and waits until its Run has returned.
func (r *runningService) stop() {
	r.cancel()
	<-r.done
}

// start runs a service in a goroutine. It logs the error of a service that fails
// before ctx is cancelled, and sends it to failures unless an earlier failure is
// still there.
func (g *Group) start(ctx context.Context, name string, service Service, failures chan<- error) *runningService {
	ctx, cancel := context.WithCancel(ctx)
	r := &runningService{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		err := service.Run(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		g.log.Error("service failed; stopping all services", "service", name, "error", err)
		select {
		case failures <- errors.Annotatef(err, "service %q", name):
		default:
		}
	}()
	return r
}
