package supervisor

import (
	"context"
	"log/slog"
	"sync"

	"github.com/juju/errors"
)

type (
	// Service is a part of the daemon with a duty of its own. Run returns when
	// ctx ends or when the duty cannot be done any more.
	Service interface {
		Run(ctx context.Context) error
	}

	// Kernel holds the services of one process by name.
	Kernel struct {
		log   *slog.Logger
		mu    sync.Mutex
		order []string
		byKey map[string]any
	}

	// Func is a duty without state of its own.
	Func func(ctx context.Context) error
)

// Run implements Service.
func (f Func) Run(ctx context.Context) error {
	return f(ctx)
}

// New returns an empty kernel.
func New(log *slog.Logger) *Kernel {
	return &Kernel{log: log, byKey: make(map[string]any)}
}

// Register adds a service under a name. A name that is taken is an error.
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.byKey[name]; taken {
		return errors.AlreadyExistsf("service %q", name)
	}
	k.order = append(k.order, name)
	k.byKey[name] = service
	return nil
}

// Find returns the service registered under name as a T.
func Find[T any](k *Kernel, name string) (T, error) {
	var none T
	k.mu.Lock()
	service, ok := k.byKey[name]
	k.mu.Unlock()
	if !ok {
		return none, errors.NotFoundf("service %q", name)
	}
	typed, ok := service.(T)
	if !ok {
		return none, errors.NotValidf("service %q of type %T as %T", name, service, none)
	}
	return typed, nil
}

// Names lists the registered services in order of registration.
func (k *Kernel) Names() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.order...)
}

// Run runs every registered Service until ctx ends or one of them fails. The
// services stop one at a time, the last registered first, so that a service
// can rely on those registered before it until its own end. Run returns the
// first failure, nil when there was none.
func (k *Kernel) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	var running []*process
	for _, name := range k.Names() {
		service, ok := k.byKey[name].(Service)
		if !ok {
			continue
		}
		running = append(running, k.start(context.WithoutCancel(ctx), name, service, failed))
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	for i := len(running) - 1; i >= 0; i-- {
		running[i].stop()
	}
	return err
}

// process is a service that has been started.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (p *process) stop() {
	p.cancel()
	<-p.done
}

func (k *Kernel) start(ctx context.Context, name string, service Service, failed chan<- error) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		err := service.Run(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		k.log.Error("service failed", "service", name, "error", err)
		select {
		case failed <- errors.Annotatef(err, "service %q", name):
		default:
		}
	}()
	return p
}
