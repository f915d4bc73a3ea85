package server

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/collector"
	"github.com/coltsfootlever/coltsfootlever/excluder"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/registrar"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// withheldLogInterval is the shortest time between two log lines on starts that
// were withheld from the same worker.
const withheldLogInterval = time.Second

type (
	// zoneReport is what one entry knows of the evacuated zones, and what runs on
	// its workers by zone.
	zoneReport struct {
		excluder.Report
		Usage map[string]scheduler.ZoneUsage `json:"usage,omitempty"`
	}

	// evacuationPeers gives the excluder access to the other entries.
	evacuationPeers struct{ e *Entry }

	// zones implements operator.Zones.
	zones struct{ e *Entry }

	// withheldLog limits the log lines on withheld starts.
	withheldLog struct {
		mu   sync.Mutex
		last map[string]time.Time // by worker
	}
)

// buildEvacuations creates the service that follows the evacuated zones.
func (e *Entry) buildEvacuations() {
	e.evacuations = excluder.New(e.platform.Store, evacuationPeers{e}, e.instancesInService,
		excluder.WithLog(e.cfg.Log),
		excluder.WithStaleness(e.cfg.Staleness),
		excluder.WithChangeCheck(e.checkRulesChange),
	)
	e.evacuations.Subscribe(func(excluder.Record) {
		e.mover.DisableEvacuated()
		e.placer.Wake()
	})
}

// checkMayStart returns a refusal while this entry may have missed a change of the
// membership, the rules or the evacuated zones.
func (e *Entry) checkMayStart() error {
	if err := e.freshness.check(); err != nil {
		return err
	}
	return e.evacuations.Check()
}

// checkWorkerStart returns a refusal if no task may be sent to the worker now. It
// counts and logs the start that is withheld.
func (e *Entry) checkWorkerStart(w scheduler.Worker) error {
	err := e.freshness.check()
	if err == nil {
		err = e.evacuations.CheckStart(w.Zone)
	}
	if err != nil {
		e.metrics.withheldStarts(w.Zone).Inc()
		if e.withheld.allows(w.ID, time.Now()) {
			e.cfg.Log.Info("start withheld; the task waits again", "worker", w.ID, "zone", w.Zone, "reason", err)
		}
	}
	return err
}

// allows reports whether a withheld start of the worker is to be logged.
func (l *withheldLog) allows(worker string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last[worker]) < withheldLogInterval {
		return false
	}
	if l.last == nil {
		l.last = map[string]time.Time{}
	}
	for id, at := range l.last {
		if now.Sub(at) >= withheldLogInterval {
			delete(l.last, id)
		}
	}
	l.last[worker] = now
	return true
}

// instancesInService counts the instances in service by zone, from the stored
// records. The known zones also include those of the platform's instance list.
func (e *Entry) instancesInService(ctx context.Context) (excluder.InService, error) {
	instances, err := e.orders.List(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	known := excluder.InService{}
	for _, l := range e.mover.Roster().All() {
		known[l.Zone] += 0
	}
	for _, i := range instances {
		known[i.Zone] += 0
		if i.Phase == mover.Serving && i.Unhealthy == "" {
			known[i.Zone]++
		}
	}
	return known, nil
}

// reportZones returns what this entry knows, for the other entries.
func (e *Entry) reportZones(ctx context.Context, subject string) (any, error) {
	return zoneReport{Report: e.evacuations.HandleReport(ctx, subject), Usage: e.fleet.UsageByZone()}, nil
}

// EvacuateZone takes a zone out of use on all entries; see
// excluder.Excluder.Evacuate.
func (e *Entry) EvacuateZone(ctx context.Context, req excluder.Request) (excluder.Change, error) {
	return e.evacuations.Evacuate(ctx, req)
}

// RestoreZone returns an evacuated zone to use on all entries.
func (e *Entry) RestoreZone(ctx context.Context, req excluder.Request) (excluder.Change, error) {
	return e.evacuations.Restore(ctx, req)
}

// IsEvacuated reports whether this entry knows that the zone is evacuated.
func (e *Entry) IsEvacuated(zone string) bool {
	return e.evacuations.IsEvacuated(zone)
}

// Self implements excluder.Peers.
func (p evacuationPeers) Self() string {
	return p.e.self().ID
}

// Registered implements excluder.Peers.
func (p evacuationPeers) Registered() []string {
	var ids []string
	for _, m := range p.e.members.View().Others(p.e.self().ID) {
		ids = append(ids, m.ID)
	}
	return ids
}

// Refresh implements excluder.Peers.
func (p evacuationPeers) Refresh(ctx context.Context) {
	p.e.members.Refresh(ctx)
}

// Heard implements excluder.Peers. Peers without a recent heartbeat are left out:
// the membership has already established that they are gone, or it would not
// report an outage.
func (p evacuationPeers) Heard() []string {
	return slices.DeleteFunc(p.Registered(), func(id string) bool {
		_, at, ok := p.e.heartbeats.get(id)
		return !ok || time.Since(at) > p.e.cfg.Staleness
	})
}

// Outage implements excluder.Peers.
func (p evacuationPeers) Outage() bool {
	return p.e.members.Connectivity() == registrar.Outage
}

// Reports implements excluder.Peers. An entry of a release without evacuations
// knows no record and cannot have changed one, so it counts as an answer with no
// record.
func (p evacuationPeers) Reports(ctx context.Context, number uint64) map[string]excluder.Report {
	ctx, cancel := context.WithTimeout(ctx, collector.DefaultTimeout)
	defer cancel()
	request := messenger.ReportRequest{Kind: zonesReport, Subject: strconv.FormatUint(number, 10)}
	reports := map[string]excluder.Report{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range p.e.members.View().Others(p.Self()) {
		calls.Go(func() {
			var report zoneReport
			reply, err := p.e.platform.Peers.FetchReport(ctx, m.Address, request)
			if err == nil {
				err = json.Unmarshal(reply.Payload, &report)
			}
			if err != nil && classifier.As(err).Code != classifier.NotFound {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[m.ID] = report.Report
		})
	}
	calls.Wait()
	return reports
}

// Evacuate implements operator.Zones.
func (z zones) Evacuate(ctx context.Context, req excluder.Request) (excluder.Change, error) {
	return z.e.EvacuateZone(ctx, req)
}

// Restore implements operator.Zones.
func (z zones) Restore(ctx context.Context, req excluder.Request) (excluder.Change, error) {
	return z.e.RestoreZone(ctx, req)
}

// List implements operator.Zones. It returns the record that this entry knows and
// when it was the latest one, so that the list is available while the key-value
// service does not answer.
func (z zones) List(ctx context.Context) (operator.ZonesReply, error) {
	z.e.evacuations.Refresh(ctx)
	record := z.e.evacuations.Record()
	reply := operator.ZonesReply{Number: record.Number, Zones: []operator.ZoneReply{}}
	if age, ok := z.e.evacuations.Age(); ok {
		reply.AsOf = time.Now().UTC().Add(-age)
	}
	reply.Current = z.e.evacuations.Check() == nil
	parts, missing := collector.Collect[zoneReport](ctx, z.e.reports, zonesReport, strconv.FormatUint(record.Number, 10))
	reply.Missing = missing
	for _, m := range missing {
		reply.Unconfirmed = append(reply.Unconfirmed, m.Entry)
	}
	for _, part := range parts {
		if part.Body.Record.Number < record.Number {
			reply.Unconfirmed = append(reply.Unconfirmed, part.Entry)
		}
	}
	slices.Sort(reply.Unconfirmed)
	for _, e := range record.Zones {
		reply.Zones = append(reply.Zones, z.describe(e, parts))
	}
	return reply, nil
}

// describe returns the state of one evacuated zone.
func (z zones) describe(e excluder.Evacuation, parts []collector.Part[zoneReport]) operator.ZoneReply {
	reply := operator.ZoneReply{Evacuation: e}
	for _, i := range z.e.mover.Table().All() {
		if i.Zone == e.Zone && i.Phase != mover.Absent && i.Phase != mover.Evicted {
			reply.Workers++
		}
	}
	for _, part := range parts {
		usage := part.Body.Usage[e.Zone]
		reply.BusyWorkers += usage.Workers
		reply.RunningTasks += usage.Tasks
	}
	return reply
}

// addEvacuationMetrics adds the metrics of the evacuated zones. The count of
// withheld starts in this entry's own zone is present from the start.
func (e *Entry) addEvacuationMetrics() {
	e.metrics.withheldStarts(e.cfg.Zone)
	e.metrics.addGauge(`coltsfootlever_evacuated_zones`, func() float64 { return float64(len(e.evacuations.Record().Zones)) })
	e.metrics.addGauge(`coltsfootlever_evacuations_number`, func() float64 { return float64(e.evacuations.Record().Number) })
	e.metrics.addGauge(`coltsfootlever_evacuations_fresh`, func() float64 { return boolToFloat(e.evacuations.Check() == nil) })
	started := time.Now()
	e.metrics.addGauge(`coltsfootlever_evacuations_age_seconds`, func() float64 {
		age, ok := e.evacuations.Age()
		if !ok {
			age = time.Since(started)
		}
		return age.Seconds()
	})
}

// withheldStartsName is the name of the counter of starts withheld in a zone.
func withheldStartsName(zone string) string {
	return fmt.Sprintf(`coltsfootlever_starts_withheld_total{zone=%q}`, zone)
}
