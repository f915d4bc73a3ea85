package elector

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	// ChallengeKey is the store key of the token of the leader that is asked to resign
	// because another entry node is better suited.
	ChallengeKey = "challenge"

	challengeDelay         = time.Second            // time for which a leader is left alone; also between two attempts to challenge it
	maxChallengeJitter     = 500 * time.Millisecond // so that few of several better suited entry nodes write a challenge
	challengeCheckInterval = time.Second            // between two reads of the challenge by a leader
)

// WithBetterSuited sets the function that reports whether this entry node is so
// much better suited to lead than another one that a hand-over pays off. It challenges
// such a leader, which then resigns. Without it, leaders are never challenged and
// don't look for challenges.
//
// An entry node that is badly suited becomes leader when the others could not reach
// the store at that moment.
func WithBetterSuited(isBetter func(ctx context.Context, leader string) (bool, error)) Option {
	return func(e *Elector) { e.isBetter = isBetter }
}

// signalLeader signals that there is a new leader.
func (e *Elector) signalLeader() {
	select {
	case e.newLeader <- struct{}{}:
	default:
	}
}

// challengeLeaders challenges leaders that are less suited than this entry node until
// ctx ends.
func (e *Elector) challengeLeaders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.newLeader:
		}
		for settled := false; !settled; {
			if supervisor.Pause(ctx, challengeDelay+rand.N(maxChallengeJitter)) != nil {
				return
			}
			var err error
			if settled, err = e.challengeLeader(ctx); err != nil {
				e.log.Warn("leader not challenged, trying again", "error", err)
			}
		}
	}
}

// challengeLeader challenges the present leader if it is less suited. It reports
// whether nothing is left to do until there is another leader.
func (e *Elector) challengeLeader(ctx context.Context) (settled bool, err error) {
	leader, err := e.store.Get(ctx, Key)
	if err != nil {
		return false, errors.Annotate(err, "reading the leader record")
	}
	name, _, _ := strings.Cut(string(leader.Value), "/")
	if leader.Revision == 0 || name == e.entryName {
		return true, nil
	}
	better, err := e.isBetter(ctx, name)
	if err != nil || !better {
		return err == nil, errors.Annotate(err, "comparing this entry with the leader")
	}
	challenge, err := e.store.Get(ctx, ChallengeKey)
	if err != nil {
		return false, errors.Annotate(err, "reading the challenge")
	}
	token := strconv.FormatInt(leader.Revision, 10)
	if string(challenge.Value) == token {
		return true, nil
	}
	_, _, err = e.store.Commit(ctx, keeper.Txn{
		Expect: []keeper.Expectation{{Key: Key, Revision: leader.Revision}, {Key: ChallengeKey, Revision: challenge.Revision}},
		Put:    []keeper.Put{{Key: ChallengeKey, Value: []byte(token)}},
	})
	if err != nil {
		return false, errors.Annotate(err, "storing the challenge")
	}
	e.log.Info("leader challenged: this entry is better suited", "leader", name, "token", leader.Revision)
	return true, nil
}

// resignWhenChallenged ends the term when the leader is challenged.
func (e *Elector) resignWhenChallenged(ctx context.Context, t *Term) {
	token := strconv.FormatInt(t.Token, 10)
	for supervisor.Pause(ctx, challengeCheckInterval) == nil {
		r, err := e.store.Get(ctx, ChallengeKey)
		if err == nil && string(r.Value) == token { // while the store doesn't answer, a hand-over would fail as well
			e.log.Info("leader challenged by a better suited entry, resigning", "token", t.Token)
			t.Resign()
			return
		}
	}
}
