package planner

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	lendStep = time.Second
	lendWalk = 6 * time.Hour
	moveTime = 20 * time.Second // drain and take into service
)

// borrower is a pool under a written load of which waiting work is kept.
type borrower struct {
	own, borrowed  int // instances
	demand, queued int // slots asked for each second by jobs of 1 s; slots waiting
}

// greedy lends whenever work waits and takes back whenever none does.
type greedy struct{}

func (greedy) Decide(pools []Demand, _ time.Time) []Loan {
	var loans []Loan
	left := 0
	for _, p := range pools {
		left += p.Lendable
	}
	for _, p := range pools {
		switch {
		case p.Spare:
		case p.Waiting > 0 && left > 0:
			left--
			loans = append(loans, Loan{From: "spare", To: p.Pool})
		case p.Waiting == 0 && p.Borrowed > 0 && p.Running <= p.Slots-slotsEach:
			loans = append(loans, Loan{From: p.Pool, Return: true})
		}
	}
	return loans
}

type nobody struct{}

func (nobody) Decide([]Demand, time.Time) []Loan { return nil }

// walkLoans runs four pools under bursts of five times the mean for seconds
// and, in the third hour, an overload of one pool for an hour. It returns the
// moves and the slot-seconds that work waited.
func walkLoans(l interface {
	Decide([]Demand, time.Time) []Loan
}) (moves, waited int) {
	rng := rand.New(rand.NewPCG(3, 3))
	start := time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	pools := make([]borrower, 4)
	for n := range pools {
		pools[n].own = 10
	}
	spare := 10
	var arrivals []func()
	due := map[time.Time][]func(){}
	for now := start; now.Before(start.Add(lendWalk)); now = now.Add(lendStep) {
		arrivals, due[now] = due[now], nil
		for _, arrive := range arrivals {
			arrive()
		}
		demands := []Demand{{Pool: "spare", Spare: true, Lendable: spare}}
		for n := range pools {
			p := &pools[n]
			p.load(n, now.Sub(start), rng)
			slots := slotsEach * (p.own + p.borrowed)
			work := p.queued + p.demand
			running := min(slots, work)
			p.queued = work - running
			waited += p.queued
			demands = append(demands, Demand{Pool: fmt.Sprint(n), Slots: slots, Running: running, Waiting: p.queued, Borrowed: p.borrowed})
		}
		for _, loan := range l.Decide(demands, now) {
			moves++
			arrive := func() { spare++ }
			if loan.Return {
				pools[loan.From[0]-'0'].borrowed--
			} else {
				spare--
				arrive = func() { pools[loan.To[0]-'0'].borrowed++ }
			}
			at := now.Add(moveTime)
			due[at] = append(due[at], arrive)
		}
	}
	return moves, waited
}

func (p *borrower) load(n int, t time.Duration, rng *rand.Rand) {
	mean := 20 + rng.IntN(5)
	burst := (int(t.Seconds())+n*13)%60 < 6
	p.demand = mean / 2
	if burst {
		p.demand = 5 * mean
	}
	if n == 2 && t >= 2*time.Hour && t < 3*time.Hour {
		p.demand += 75
	}
}

// Lending with hysteresis leaves bursts alone and meets a lasting overload
// with few moves.
func TestLendingMovesLittle(t *testing.T) {
	out := &strings.Builder{}
	_, _ = fmt.Fprintf(out, "%-16s %8s %22s\n", "lender", "moves", "waiting slot-seconds")
	run := func(name string, l interface {
		Decide([]Demand, time.Time) []Loan
	}) (int, int) {
		moves, waited := walkLoans(l)
		_, _ = fmt.Fprintf(out, "%-16s %8d %22d\n", name, moves, waited)
		return moves, waited
	}
	_, without := run("no loans", nobody{})
	greedyMoves, _ := run("no hysteresis", greedy{})
	moves, waited := run("hysteresis", NewLender(DefaultLendOptions()))
	golden(t, "lending.golden", out.String())
	require.Less(t, moves*10, greedyMoves)
	require.Less(t, waited*2, without)
}
