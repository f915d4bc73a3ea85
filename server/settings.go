// Package server assembles an entry, which is one server process of the system. It
// creates the services, connects them, runs them under a supervisor and provides
// the handlers for callers, operators and peers. Peers are the other entries.
package server

import (
	"context"
	stderrors "errors"
	"log/slog"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/messenger"
)

// Default values of the settings.
const (
	DefaultTaskLease        = 15 * time.Second
	DefaultClockMargin      = 2 * time.Second
	DefaultHeartbeat        = 2 * time.Second
	DefaultStaleness        = 3 * time.Second
	DefaultListLag          = 10 * time.Second
	DefaultStopTimeout      = 2 * time.Minute
	DefaultBalancerDelay    = 3 * time.Second
	DefaultAnswerCacheBytes = 16 << 20
)

type (
	// Store is the platform's key-value service.
	Store interface {
		Get(ctx context.Context, key string) (keeper.Record, error)
		List(ctx context.Context, prefix string) ([]keeper.Record, int64, error)
		Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error)
		Delete(ctx context.Context, key string, revision int64) error
		Watch(ctx context.Context, prefix string, after int64, fn func(keeper.Event)) error
		Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error)
		KeepAlive(ctx context.Context, id keeper.LeaseID) error
		Revoke(ctx context.Context, id keeper.LeaseID) error
	}

	// Instances is the platform's interface for listing and rebooting instances.
	Instances interface {
		List(ctx context.Context) ([]lister.Listing, error)
		Reboot(ctx context.Context, id string) error
	}

	// Workers is the platform's worker interface.
	Workers interface {
		Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error)
		Renew(ctx context.Context, address string, r dispatcher.Renewal) ([]string, error)
		Stop(ctx context.Context, address, task string) error
		Checkpoint(ctx context.Context, address, task string) error
		Throttle(ctx context.Context, address, task string) error
	}

	// Peers sends messages to the entry at an address.
	Peers interface {
		Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error)
		Claim(ctx context.Context, address string, r messenger.ClaimRequest) (messenger.ClaimReply, error)
		ReportTaskOutcome(ctx context.Context, address string, r messenger.SettleRequest) error
		HandOver(ctx context.Context, address string, r messenger.HandOverRequest) error
		WaitForAnswer(ctx context.Context, address string, r messenger.AttachRequest) (messenger.Answer, error)
		ForwardTask(ctx context.Context, address string, r messenger.ForwardRequest) (messenger.Answer, error)
		CancelTask(ctx context.Context, address string, r messenger.CancelRequest) error
		ListRulesChanges(ctx context.Context, address string, r messenger.ChangesRequest) (messenger.ChangesReply, error)
		FetchReport(ctx context.Context, address string, r messenger.ReportRequest) (messenger.ReportReply, error)
	}

	// Platform holds the clients of everything outside the process.
	Platform struct {
		Store     Store
		Instances Instances
		Workers   Workers
		Peers     Peers
	}

	// Settings configure an entry. They do not change while it runs.
	Settings struct {
		Instance       string // ID of this entry in the platform's instance list
		Zone           string
		PeersAddress   string // IP:PORT on which other entries connect
		CallersAddress string // IP:PORT on which callers connect
		TaskLease      time.Duration
		ClockMargin    time.Duration // largest difference between two clocks
		Heartbeat      time.Duration // time between two heartbeats to a peer
		Staleness      time.Duration // time without contact after which the entry may have missed a change of membership or rules
		ListLag        time.Duration // longest time until a change shows in the instance list
		BalancerDelay  time.Duration // time the load balancer takes to notice a failed readiness check
		StopTimeout    time.Duration // longest wait for requests in progress at a planned stop
		MemoryBytes    int64         // memory that the process may use; 0 for that of the machine
		MaxDescriptors int           // file descriptors that the process may have open; 0 for its limit
		Seeds          []string      // addresses of peers from which the rules are read when the store is down

		// OperatorHash is the hash of an operator key that is valid even when
		// there are no rules.
		OperatorHash string
		Log          *slog.Logger
		// Assert is called with the result of each invariant check. If it is nil,
		// broken invariants are logged and counted.
		Assert func(ok bool, format string, args ...any)
	}
)

// DefaultSettings returns settings with default values. The caller must set
// Instance, Zone, PeersAddress and CallersAddress.
func DefaultSettings() Settings {
	return Settings{
		TaskLease:     DefaultTaskLease,
		ClockMargin:   DefaultClockMargin,
		Heartbeat:     DefaultHeartbeat,
		Staleness:     DefaultStaleness,
		ListLag:       DefaultListLag,
		BalancerDelay: DefaultBalancerDelay,
		StopTimeout:   DefaultStopTimeout,
		Log:           slog.Default(),
	}
}

// Check returns an error that lists all settings that are not valid, or nil if all
// are valid.
func (s Settings) Check() error {
	var faults []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, errors.Errorf(format, args...))
		}
	}
	require(s.Instance != "", "--instance is empty: set the identity from the platform's instance list")
	require(s.Zone != "", "--zone is empty: set the availability zone")
	require(isAddress(s.PeersAddress), "--peers is %q: set IP:PORT, such as 127.0.0.1:7100", s.PeersAddress)
	require(isAddress(s.CallersAddress), "--callers is %q: set IP:PORT, such as 127.0.0.1:7000", s.CallersAddress)
	require(s.TaskLease >= time.Second, "--task-lease is %s: set at least 1s", s.TaskLease)
	require(s.ClockMargin > 0, "--clock-margin is %s: set a positive duration", s.ClockMargin)
	require(s.Heartbeat >= 100*time.Millisecond, "--heartbeat is %s: set at least 100ms", s.Heartbeat)
	require(s.Staleness > s.Heartbeat, "--staleness is %s: set more than the heartbeat of %s", s.Staleness, s.Heartbeat)
	require(s.StopTimeout > 0, "--stop-time is %s: set a positive duration", s.StopTimeout)
	require(s.MemoryBytes == 0 || s.MemoryBytes >= minMemoryBytes, "--memory-mb is %d: set at least %d, or 0 for the memory of the machine", s.MemoryBytes>>20, minMemoryBytes>>20)
	require(s.MaxDescriptors == 0 || s.MaxDescriptors >= minDescriptors, "--max-descriptors is %d: set at least %d, or 0 for the limit of the process", s.MaxDescriptors, minDescriptors)
	return stderrors.Join(faults...)
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
