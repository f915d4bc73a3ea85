package operator

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/collector"
	"github.com/coltsfootlever/coltsfootlever/excluder"
)

type (
	// Zones evacuates and restores availability zones.
	Zones interface {
		Evacuate(ctx context.Context, req excluder.Request) (excluder.Change, error)
		Restore(ctx context.Context, req excluder.Request) (excluder.Change, error)
		List(ctx context.Context) (ZonesReply, error)
	}

	// EvacuateRequest is the body of a call that evacuates a zone.
	EvacuateRequest struct {
		Comment string `json:"comment"`
		Force   bool   `json:"force,omitempty"` // evacuate the last zone that has instances in service
	}

	// ZonesReply lists the evacuated zones.
	ZonesReply struct {
		Number  uint64      `json:"number"`         // number of the record of evacuated zones
		AsOf    time.Time   `json:"as-of,omitzero"` // when the record was last known to be the latest one
		Current bool        `json:"current"`        // the record is known to be current within the staleness bound
		Zones   []ZoneReply `json:"zones"`          // sorted by name
		// Unconfirmed holds the entries that have not confirmed the record. They
		// may also lack the restoring of a zone, which Zones no longer has.
		Unconfirmed []string            `json:"unconfirmed,omitempty"`
		Missing     []collector.Missing `json:"missing,omitempty"` // entries whose running tasks are not counted
	}

	// ZoneReply describes one evacuated zone.
	ZoneReply struct {
		excluder.Evacuation
		Workers      int `json:"workers"`       // instances in the zone
		BusyWorkers  int `json:"busy-workers"`  // instances in the zone that still run tasks
		RunningTasks int `json:"running-tasks"` // tasks that still run in the zone
	}

	zonesResource struct {
		zones Zones
	}
)

// ZonesResource returns the resource for the evacuated zones.
func ZonesResource(zones Zones) Resource {
	return zonesResource{zones}
}

// Routes implements Resource.
func (res zonesResource) Routes() []Route {
	return []Route{
		{"GET /zones", res.list},
		{"POST /zones/{zone}/evacuate", res.evacuate},
		{"POST /zones/{zone}/restore", res.restore},
	}
}

func (res zonesResource) list(ctx context.Context, _ *Request) (any, error) {
	reply, err := res.zones.List(ctx)
	if err != nil {
		return nil, classifyReadError(err)
	}
	return reply, nil
}

// evacuate evacuates a zone. The change continues if the operator disconnects.
func (res zonesResource) evacuate(ctx context.Context, r *Request) (any, error) {
	var req EvacuateRequest
	if err := r.Decode(&req); err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := detachedContext(ctx)
	defer cancel()
	return res.zones.Evacuate(ctx, excluder.Request{Zone: r.Value("zone"), RequestedBy: r.Operator.ID, Comment: req.Comment, Force: req.Force})
}

// restore returns a zone to use. The change continues if the operator disconnects.
func (res zonesResource) restore(ctx context.Context, r *Request) (any, error) {
	ctx, cancel := detachedContext(ctx)
	defer cancel()
	return res.zones.Restore(ctx, excluder.Request{Zone: r.Value("zone"), RequestedBy: r.Operator.ID})
}

// EvacuatedZones returns the evacuated zones.
func (c *Client) EvacuatedZones(ctx context.Context) (ZonesReply, error) {
	var reply ZonesReply
	err := c.Call(ctx, http.MethodGet, "/zones", nil, &reply)
	return reply, err
}

// EvacuateZone takes a zone out of use.
func (c *Client) EvacuateZone(ctx context.Context, zone string, req EvacuateRequest) (excluder.Change, error) {
	return c.changeZone(ctx, zone, "evacuate", req)
}

// RestoreZone returns an evacuated zone to use.
func (c *Client) RestoreZone(ctx context.Context, zone string) (excluder.Change, error) {
	return c.changeZone(ctx, zone, "restore", nil)
}

func (c *Client) changeZone(ctx context.Context, zone, verb string, in any) (excluder.Change, error) {
	var change excluder.Change
	err := c.Call(ctx, http.MethodPost, "/zones/"+url.PathEscape(zone)+"/"+verb, in, &change)
	return change, err
}
