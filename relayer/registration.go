package relayer

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

// KeyPrefix is the key prefix in the store under which relays register, followed
// by the name of the entry node.
const KeyPrefix = "relays/"

const (
	minRegisterPause = time.Second      // between two attempts to register; doubles with each failure
	maxRegisterPause = 30 * time.Second // upper limit of that pause
)

type (
	// Registration is the record of a relay in the store. It stays when the entry
	// node ends; a leader that can't connect calls the workers directly.
	Registration struct {
		Name           string  `json:"-"`
		Address        string  `json:"address"` // IP:PORT of the gRPC service
		Zone           string  `json:"zone"`
		ProcessorShare float64 `json:"processor-share"`
		LinkMbps       float64 `json:"link-mbps"`
	}

	// Store is the part of the key-value store client that registrations need.
	Store interface {
		List(ctx context.Context, prefix string) ([]keeper.Record, int64, error)
		Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error)
	}
)

func (r Registration) relay() Relay {
	return Relay{Name: r.Name, Zone: r.Zone, ProcessorShare: r.ProcessorShare, LinkMbps: r.LinkMbps}
}

// Capacity returns the number of workers that the entry node can serve as a relay.
func (r Registration) Capacity() int {
	return r.relay().Capacity()
}

// Register stores the registration, and tries again until it is stored or ctx
// ends.
func Register(ctx context.Context, store Store, r Registration, log *slog.Logger) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return errors.Annotatef(err, "registration of the relay %s", r.Name)
	}
	for pause := minRegisterPause; ; pause = min(2*pause, maxRegisterPause) {
		_, _, err := store.Commit(ctx, keeper.Txn{Put: []keeper.Put{{Key: KeyPrefix + r.Name, Value: raw}}})
		if err == nil {
			return nil
		}
		log.Warn("relay not registered, another attempt follows", "error", err, "pause", pause.String())
		if err := supervisor.Pause(ctx, pause); err != nil {
			return err
		}
	}
}

// ListRegistrations returns the registered relays. Records that cannot be parsed
// are logged and skipped.
func ListRegistrations(ctx context.Context, store Store, log *slog.Logger) ([]Registration, error) {
	records, _, err := store.List(ctx, KeyPrefix)
	if err != nil {
		return nil, errors.Annotate(err, "listing the relays")
	}
	var list []Registration
	for _, rec := range records {
		r := Registration{Name: strings.TrimPrefix(rec.Key, KeyPrefix)}
		if err := json.Unmarshal(rec.Value, &r); err != nil || r.Address == "" {
			log.Warn("registration of a relay is invalid and is ignored", "relay", r.Name, "error", err)
			continue
		}
		list = append(list, r)
	}
	return list, nil
}
