package server

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/claimer"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/collector"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/excluder"
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/placer"
	"github.com/coltsfootlever/coltsfootlever/planner"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/registrar"
	"github.com/coltsfootlever/coltsfootlever/reporter"
	"github.com/coltsfootlever/coltsfootlever/router"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
	"github.com/coltsfootlever/coltsfootlever/surveyor"
)

// Names of the entry's services, as registered with the supervisor.
const (
	RegistrarService         = "registrar"
	DistributorService       = "distributor"
	GranterService           = "granter"
	CoordinatorRoleService   = "grants-duty"        // lease lock of the coordinator role
	LedgerCoordinatorService = "ledger-coordinator" // coordinator of the grants; the ledger is the stored records of them
	MoverService             = "mover"
	FleetCoordinatorService  = "fleet-coordinator"
	MaintainerService        = "maintainer"
	LendingService           = "lending"
	SurveyorService          = "surveyor"
	RecorderService          = "recorder"
	ClaimerService           = "claimer"
	PlacerService            = "placer"
	WorkerHealthService      = "worker-health"
	FreshnessService         = "freshness"
	EvacuationsService       = "evacuations"
	RouterService            = "router"
	AdmitterService          = "admitter"
)

const (
	// coordinatorRoleName is the name of the lease lock that one entry at a time
	// holds. The holder coordinates the grants and the instances of all entries.
	coordinatorRoleName = "coordinator"
	// journalCapacity is the number of decisions that an entry keeps in memory.
	// Most are about jobs and take about 400 bytes.
	journalCapacity = 16 << 10
	// checkpointDelay is how long the tasks of a draining worker may go on
	// before they are told to save a checkpoint and stop.
	checkpointDelay = 30 * time.Second
	// listPollInterval is the time between two reads of the instance list.
	listPollInterval = time.Second
)

// Entry is one server process of the system. Several equal entries stand between
// the load balancer and the workers. Create it with New.
type Entry struct {
	cfg      Settings
	platform Platform
	group    *supervisor.Group
	metrics  *entryMetrics

	members         *registrar.Registrar
	rules           *distributor.Distributor
	coordinatorRole *keeper.LeaseLock  // held by the entry that coordinates grants and instances
	slotQuota       *granter.SlotQuota // slots that this entry may use for each team
	grants          *granter.Granter
	waiting         *scheduler.WaitingTasks
	fleet           *scheduler.Fleet
	mover           *mover.Mover
	budgets         *budgeter.Budgeter
	orders          *mover.Orders
	claims          *claimer.Claimer
	placer          *placer.Placer
	chooser         *router.LoadChooser
	router          *router.Router
	admitter        *admitter.Admitter
	heartbeats      *heartbeatTable
	teamLoads       func() []messenger.Heartbeat // teams' loads by entry, from which grants and weights are computed
	reports         *collector.Collector
	objectives      *reporter.Meter

	decisions      *recorder.Recorder
	survey         *surveyor.Surveyor
	freshness      *freshness
	evacuations    *excluder.Excluder
	withheld       withheldLog
	leaving        atomic.Bool
	largestWorkers atomic.Pointer[map[string]int] // slots of the largest worker of each pool
}

// New returns an entry that is not yet running. If settings are not valid, the
// error lists all invalid settings.
func New(cfg Settings, platform Platform) (*Entry, error) {
	e, err := build(cfg, platform)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return e, e.register()
}

// build creates the services without registering them with the supervisor.
func build(cfg Settings, platform Platform) (*Entry, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	if err := cfg.setDefaultLimits(); err != nil {
		return nil, errors.Trace(err)
	}
	e := &Entry{cfg: cfg, platform: platform, group: supervisor.NewGroup(cfg.Log), metrics: newEntryMetrics()}
	if e.cfg.Assert == nil {
		e.cfg.Assert = e.reportBrokenInvariant
	}
	e.buildMembership()
	e.buildEvacuations()
	e.buildGrants()
	e.buildFleet()
	e.buildRequestPath()
	return e, nil
}

// reportBrokenInvariant logs and counts an invariant that does not hold. It is the
// default of Settings.Assert.
func (e *Entry) reportBrokenInvariant(ok bool, format string, args ...any) {
	if ok {
		return
	}
	e.metrics.brokenInvariants.Inc()
	e.cfg.Log.Error("invariant broken", "what", fmt.Sprintf(format, args...))
}

// checkRulesChange refuses changes of the rules until every other member of the
// cluster knows about this entry.
func (e *Entry) checkRulesChange() error {
	if e.members.Announced() {
		return nil
	}
	return classifier.Refuse(classifier.Unready, "this entry has not reached all others yet: try again or use another").WithRetryAfter(time.Second)
}

// roleHeldFunc reports whether this entry holds the coordinator role.
type roleHeldFunc func() bool

// Held calls the function. With it, services that need the coordinator role can be
// created before the lease lock of the role.
func (f roleHeldFunc) Held() bool {
	return f()
}

// self returns the record of this entry in the cluster membership.
func (e *Entry) self() registrar.Member {
	return e.members.Self()
}

// buildMembership creates the services that know the other entries and the rules:
// the registrar and the distributor, the lease lock of the coordinator role, the
// check that membership and rules are up to date, the table of heartbeats, the
// collector of reports, the meter of objectives and the recorder of decisions.
func (e *Entry) buildMembership() {
	self := registrar.Member{
		Instance: e.cfg.Instance,
		Zone:     e.cfg.Zone,
		Address:  e.cfg.PeersAddress,
		Callers:  e.cfg.CallersAddress,
	}
	e.members = registrar.New(e.platform.Store, e.platform.Peers, e.platform.Instances, self,
		registrar.WithLog(e.cfg.Log),
		registrar.WithAssert(e.cfg.Assert),
		registrar.WithHeartbeat(e.cfg.Heartbeat),
		registrar.WithStaleness(e.cfg.Staleness),
		registrar.WithListTiming(listPollInterval, e.cfg.ListLag),
		registrar.WithCoordinatorRole(roleHeldFunc(func() bool { return e.coordinatorRole.Held() })),
		registrar.WithHandOver(e.handOver),
		registrar.WithLoadSource(func() ([]messenger.PoolLoad, []messenger.TeamLoad) { return e.reportLoads() }),
		registrar.WithRulesNumber(func() uint64 { return e.rules.RulesNumber() }),
	)
	e.rules = distributor.New(e.platform.Store, e.platform.Peers,
		distributor.WithLog(e.cfg.Log),
		distributor.WithAssert(e.cfg.Assert),
		distributor.WithMembers(e.self().ID, e.members.View),
		distributor.WithSeeds(func() []string { return e.cfg.Seeds }),
		distributor.WithApplyCheck(e.checkRulesChange),
	)
	e.coordinatorRole = keeper.NewLeaseLock(e.platform.Store, coordinatorRoleName, e.self().ID, keeper.WithLeaseLockLog(e.cfg.Log))
	e.freshness = newFreshness(e.members, e.cfg.Staleness)
	e.heartbeats = newHeartbeatTable(e.self().ID)
	e.teamLoads = e.heartbeats.current
	e.reports = collector.New(e.members, e.platform.Peers)
	e.objectives = reporter.NewMeter()
	ring := recorder.NewRing(e.platform.Store, e.cfg.Log)
	e.decisions = recorder.New(e.self().ID, recorder.NewJournal(journalCapacity), ring)
}

// buildGrants creates the services that keep the teams' limits: this entry's
// grants and its queue of waiting tasks.
func (e *Entry) buildGrants() {
	e.slotQuota = granter.NewSlotQuota(e.cfg.Assert)
	e.slotQuota.SetGuard(e.checkMayStart)
	e.waiting = scheduler.NewWaitingTasks()
	e.grants = granter.New(e.platform.Store, e.self().ID, e.slotQuota,
		granter.WithLog(e.cfg.Log),
		granter.WithAssert(e.cfg.Assert),
		granter.WithWeightsHandler(e.applyWeights),
	)
}

// buildFleet creates the services that manage workers and instances.
func (e *Entry) buildFleet() {
	e.fleet = scheduler.NewFleet(scheduler.WithAssert(e.cfg.Assert))
	e.mover = mover.New(e.platform.Store, e.self().ID, e.fleet, e.platform.Instances,
		mover.WithLog(e.cfg.Log),
		mover.WithAssert(e.cfg.Assert),
		mover.WithListPeriod(listPollInterval),
		mover.WithStartPermission(func() bool { return e.checkMayStart() == nil }),
		mover.WithEvacuations(e.evacuations.IsEvacuated),
		mover.WithCheckpoint(checkpointDelay, func(_ context.Context, id string) { e.placer.CheckpointWorker(id) }),
		mover.WithJournal(e.decisions.Record),
	)
	e.survey = surveyor.New(e.mover.Table().All, e.rules.Rules)
	e.budgets = budgeter.New(e.platform.Store, e.rules.Rules, budgeter.WithAssert(e.cfg.Assert), budgeter.WithEvacuated(e.mover.EvacuatedAbsences))
	e.orders = mover.NewOrders(e.platform.Store, e.self().ID, e.rules.Rules, e.budgets, e.decisions.Record)
}

// buildRequestPath creates the services that a caller's request passes through.
func (e *Entry) buildRequestPath() {
	e.claims = claimer.New(e.members, e.platform.Peers,
		claimer.WithLog(e.cfg.Log),
		claimer.WithAssert(e.cfg.Assert),
		claimer.WithStaleness(e.cfg.Staleness),
		claimer.WithClockMargin(e.cfg.ClockMargin),
		claimer.WithClaimTimeout(e.claimTimeout()),
	)
	retries := scheduler.NewRetryBudgets(scheduler.DefaultRetryRatio, scheduler.DefaultRetryFloor)
	e.placer = placer.New(e.self().ID, e.platform.Workers, e.slotQuota, e.fleet, e.waiting,
		placer.WithLog(e.cfg.Log),
		placer.WithLease(e.cfg.TaskLease),
		placer.WithClockMargin(e.cfg.ClockMargin),
		placer.WithWorkerLeavingHandler(e.mover.ReportLeaving),
		placer.WithFreshnessCheck(e.freshness.check),
		placer.WithStartCheck(e.checkWorkerStart),
		placer.WithStartObserver(e.metrics.recordTaskStart),
		placer.WithJournal(e.decisions.Record),
		placer.WithShares(e.localShares),
		placer.WithRetries(retries),
	)
	e.chooser = router.NewLoadChooser(e.self().ID, localLoads{e})
	e.router = router.New(memberView{Registrar: e.members, fresh: e.freshness.check}, e.placer, e.platform.Peers, e.claims, e.chooser,
		router.WithLog(e.cfg.Log),
		router.WithJournal(e.decisions.Record),
		router.WithOpenQueues(e.isOpenQueue),
		router.WithRetries(retries),
		router.WithMaxTaskBytes(e.cfg.memoryShare(taskMemoryShare)),
		router.WithLargestWorker(e.largestWorkerSlots),
	)
	keys := &authenticator.Authenticator{}
	e.admitter = admitter.New(e.rules.Rules, keys, e.freshness.check, e.router,
		admitter.WithLog(e.cfg.Log),
		admitter.WithOnRequestEnd(e.recordRequestEnd),
		admitter.WithBudget(e.newBudget(callerMemoryShare)),
	)
}

// claimTimeout is how long a claim on a request name waits for the entry that
// grants claims on that name (the name's home). If that entry is lost, it is
// replaced once the instance list has lacked it for longer than the list's lag.
func (e *Entry) claimTimeout() time.Duration {
	return 2*e.cfg.ListLag + e.cfg.Staleness
}

// isOpenQueue reports whether the queue accepts requests without a key.
func (e *Entry) isOpenQueue(queue string) bool {
	rules := e.rules.Rules()
	if rules == nil {
		return false
	}
	for _, q := range rules.Queues {
		if q.Name == queue {
			return q.Open
		}
	}
	return false
}

// register registers the services with the supervisor, in the order in which they
// start. It also subscribes the services that follow views, heartbeats and rules,
// offers this entry's reports to the other entries and adds gauges of the services.
func (e *Entry) register() error {
	longestLease := e.cfg.TaskLease + placer.DefaultStartTimeout
	ledger := granter.NewCoordinator(e.platform.Store, e.grants, e.coordinatorRole, e.rules.Rules, e.members.View, e.teamLoads,
		granter.WithReclaimDelays(longestLease, e.cfg.ClockMargin),
		granter.WithStopEvidence(e.members.DepartureConfirmedAt, e.members.StalenessBound()),
		granter.WithCoordinatorLog(e.cfg.Log),
		granter.WithCoordinatorJournal(e.decisions.Record),
	)
	fleet := mover.NewCoordinator(e.mover, e.coordinatorRole, e.members.View, e.rules.Rules, e.budgets,
		mover.WithTakeoverDelay(longestLease, e.cfg.ClockMargin),
		mover.WithDepartureTimes(e.members.DepartureConfirmedAt, e.members.StalenessBound()),
		mover.WithListLag(e.cfg.ListLag),
	)
	services := []struct {
		name    string
		service any
	}{
		{RecorderService, e.decisions},
		{RegistrarService, e.members},
		{DistributorService, e.rules},
		{CoordinatorRoleService, e.coordinatorRole},
		{GranterService, e.grants},
		{LedgerCoordinatorService, ledger},
		{MoverService, e.mover},
		{FleetCoordinatorService, fleet},
		{MaintainerService, mover.NewRolloutController(fleet, e.orders)},
		{LendingService, mover.NewLendingController(fleet, e.orders, e.poolLoads, planner.DefaultLendOptions())},
		{SurveyorService, e.survey},
		{ClaimerService, e.claims},
		{PlacerService, e.placer},
		{FreshnessService, supervisor.Func(e.watchFreshness)},
		{EvacuationsService, e.evacuations},
		{WorkerHealthService, supervisor.Func(e.watchHealth)},
		{RouterService, e.router},
		{AdmitterService, e.admitter},
	}
	for _, s := range services {
		if err := e.group.Register(s.name, s.service); err != nil {
			return errors.Trace(err)
		}
	}
	e.subscribe()
	e.offerLocalReports()
	e.addServiceGauges()
	return nil
}

// subscribe passes membership views, heartbeats and rules to the services that
// depend on them.
func (e *Entry) subscribe() {
	e.members.SubscribeViews(e.claims.AdoptView)
	e.members.SubscribeHeartbeats(e.handleHeartbeat)
	e.rules.Subscribe(e.applyRules)
}

// Run runs the entry's services until ctx ends or one of them fails. It does not
// wait for requests in progress; call Stop first for that.
func (e *Entry) Run(ctx context.Context) error {
	return e.group.Run(ctx)
}

// Callers returns the handler of the HTTP interface for callers.
func (e *Entry) Callers() http.Handler {
	return e.admitter
}

// Ready returns nil if the entry can accept callers' requests: it has rules, its
// rules and membership are up to date, and it is not stopping.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return errors.New("leaving")
	}
	if e.rules.Rules() == nil {
		return errors.New("no rules known")
	}
	return e.freshness.check()
}
