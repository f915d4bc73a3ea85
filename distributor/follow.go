package distributor

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/messenger"
)

// Run keeps the rules up to date until ctx ends. It returns the error of ctx.
func (d *Distributor) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.followLoop(ctx) })
	group.Go(func() error { return d.catchUpLoop(ctx) })
	group.Go(func() error { return d.compactLoop(ctx) })
	return group.Wait()
}

// followLoop watches the changes in the key-value service and adopts them.
func (d *Distributor) followLoop(ctx context.Context) error {
	follower := keeper.NewFollower(d.store, keeper.ChangePrefix,
		keeper.OnReset(func(records []keeper.Record) { d.handleFollowError(d.adoptRecords(ctx, records)) }),
		keeper.OnEvent(func(e keeper.Event) {
			if !e.Deleted {
				d.handleFollowError(d.adoptChange(e.Value))
			}
		}),
		keeper.WithFollowerLog(d.log),
	)
	return follower.Run(ctx)
}

// handleFollowError logs an error that occurred when a watched change was
// adopted, and wakes catchUpLoop.
func (d *Distributor) handleFollowError(err error) {
	if err != nil {
		d.log.Error("adopting a watched rules change failed; catching up from peers", "err", err)
		wakeLoop(d.catchUpWanted)
	}
}

// Refresh reads the sequence of changes from the key-value service and adopts
// the new ones.
func (d *Distributor) Refresh(ctx context.Context) error {
	before := d.RulesNumber()
	records, _, err := d.store.List(ctx, keeper.ChangePrefix)
	if err != nil {
		return errors.Annotate(err, "reading the rules")
	}
	if err := d.adoptRecords(ctx, records); err != nil {
		return errors.Trace(err)
	}
	if last := lastNumber(records); last < before {
		return errors.Annotatef(ErrInvalid, "the service ends with rules %d, but rules %d were in force", last, before)
	}
	return nil
}

// adoptRecords adopts the listed changes. When the list begins after the next
// change, it first adopts the snapshot, because that change was compacted.
func (d *Distributor) adoptRecords(ctx context.Context, records []keeper.Record) error {
	if firstNumber(records) > d.RulesNumber()+1 {
		if err := d.loadSnapshot(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	for _, record := range records {
		if d.isInHistory(keyNumber(record.Key)) {
			continue
		}
		if err := d.adoptChange(record.Value); err != nil {
			return errors.Annotate(err, record.Key)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hasRead = true
	return nil
}

// loadSnapshot reads the snapshot, if there is one, and adopts it.
func (d *Distributor) loadSnapshot(ctx context.Context) error {
	record, err := d.store.Get(ctx, keeper.SnapshotKey)
	if err != nil {
		return errors.Annotate(err, "reading the snapshot of the rules")
	}
	if record.Revision == 0 {
		return nil
	}
	return d.adoptSnapshot(record.Value)
}

// firstNumber returns the number of the first listed change, or 0 when the list
// is empty.
func firstNumber(records []keeper.Record) uint64 {
	if len(records) == 0 {
		return 0
	}
	return keyNumber(records[0].Key)
}

// lastNumber returns the number of the last listed change, or 0 when the list
// is empty.
func lastNumber(records []keeper.Record) uint64 {
	if len(records) == 0 {
		return 0
	}
	return keyNumber(records[len(records)-1].Key)
}

// catchUpLoop requests the missing changes from peers or the key-value service
// whenever this entry's rules are behind.
func (d *Distributor) catchUpLoop(ctx context.Context) error {
	wakeLoop(d.catchUpWanted)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.catchUpWanted:
		}
		for delay := catchUpDelay; ; delay = catchUpRetryDelay {
			if !sleep(ctx, delay) {
				return ctx.Err()
			}
			if !d.isMissingChanges() {
				break
			}
			d.fetchMissingChanges(ctx)
		}
	}
}

// fetchMissingChanges requests the missing changes from the peers and, if the
// entry is then still behind, reads them from the key-value service.
func (d *Distributor) fetchMissingChanges(ctx context.Context) {
	for _, address := range d.peerAddresses() {
		reply, err := d.requestChanges(ctx, address)
		if err == nil {
			err = d.adoptPeerReply(reply)
		}
		if err != nil {
			d.log.Debug("requesting rules changes from a peer failed", "address", address, "err", err)
		}
	}
	if !d.isMissingChanges() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := d.Refresh(ctx); err != nil {
		d.log.Warn("reading missed rules changes from the key-value service failed; retrying", "err", err)
	}
}

// requestChanges requests the changes after the rules in force from one peer.
func (d *Distributor) requestChanges(ctx context.Context, address string) (messenger.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.peers.ListRulesChanges(ctx, address, messenger.ChangesRequest{After: d.RulesNumber()})
}

// peerAddresses returns the addresses to request changes from: the members
// known to be ahead, else all members, else the seeds.
func (d *Distributor) peerAddresses() []string {
	var ahead, all []string
	self := d.self()
	for _, m := range d.view().Members {
		if m.ID == self {
			continue
		}
		all = append(all, m.Address)
		if d.isMemberAhead(m.ID) {
			ahead = append(ahead, m.Address)
		}
	}
	switch {
	case len(ahead) > 0 && d.HasReadChanges():
		return ahead
	case len(all) > 0:
		return all
	default:
		return d.seeds()
	}
}

// isMemberAhead reports whether the member has newer rules in force.
func (d *Distributor) isMemberAhead(member string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.memberNumbers[member] > d.number
}

// isMissingChanges reports whether a change exists that is not in force here, or
// whether the sequence of changes has never been read.
func (d *Distributor) isMissingChanges() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.hasRead || d.highestSeen > d.number {
		return true
	}
	for _, number := range d.memberNumbers {
		if number > d.number {
			return true
		}
	}
	return false
}

// HandleChanges answers a peer's request for changes: with the changes, or with
// a snapshot when some of them are no longer kept or they are too large for one
// reply.
func (d *Distributor) HandleChanges(_ context.Context, req messenger.ChangesRequest) (messenger.ChangesReply, error) {
	rules := d.Rules()
	if rules == nil {
		return messenger.ChangesReply{}, classifier.Refuse(classifier.Unready, "no rules are known here")
	}
	changes, complete := d.changesSince(req.After)
	var reply messenger.ChangesReply
	size := 0
	for _, c := range changes {
		reply.Changes = append(reply.Changes, c.value)
		size += len(c.value)
	}
	if complete && size <= keeper.MaxValueBytes {
		return reply, nil
	}
	snapshot, err := keeper.Encode(uuid.NewString(), snapshotOf(rules))
	if err != nil {
		return messenger.ChangesReply{}, errors.Trace(err)
	}
	return messenger.ChangesReply{Snapshot: snapshot}, nil
}

// sleep waits for the given time. It returns false when ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
