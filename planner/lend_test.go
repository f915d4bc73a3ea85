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
	simulationStep  = time.Second
	lendingDuration = 6 * time.Hour
	moveTime        = 20 * time.Second // to drain an instance and take it into service in another pool
)

// simulatedPool is a pool with a simulated load. Work that finds no free slot waits.
type simulatedPool struct {
	ownInstances, borrowedInstances int
	demand, queued                  int // slots that the jobs of 1 s need each second; slots that waiting jobs need
}

// greedyLender lends an instance whenever work waits and takes one back whenever none waits.
type greedyLender struct{}

func (greedyLender) DecideLoans(pools []PoolDemand, _ time.Time) []Loan {
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
		case p.Waiting == 0 && p.Borrowed > 0 && p.Running <= p.Slots-slotsPerInstance:
			loans = append(loans, Loan{From: p.Pool, Return: true})
		}
	}
	return loans
}

type noLending struct{}

func (noLending) DecideLoans([]PoolDemand, time.Time) []Loan { return nil }

// simulateLending simulates four pools with bursts of five times the mean load
// that last for seconds and, in the third hour, an overload of one pool for an
// hour. It returns the number of moves and the slot-seconds that work waited.
func simulateLending(l interface {
	DecideLoans([]PoolDemand, time.Time) []Loan
}) (moves, waited int) {
	rng := rand.New(rand.NewPCG(3, 3))
	start := time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	pools := make([]simulatedPool, 4)
	for n := range pools {
		pools[n].ownInstances = 10
	}
	spare := 10
	var arrivals []func()
	due := map[time.Time][]func(){}
	for now := start; now.Before(start.Add(lendingDuration)); now = now.Add(simulationStep) {
		arrivals, due[now] = due[now], nil
		for _, arrive := range arrivals {
			arrive()
		}
		demands := []PoolDemand{{Pool: "spare", Spare: true, Lendable: spare}}
		for n := range pools {
			p := &pools[n]
			p.setDemand(n, now.Sub(start), rng)
			slots := slotsPerInstance * (p.ownInstances + p.borrowedInstances)
			work := p.queued + p.demand
			running := min(slots, work)
			p.queued = work - running
			waited += p.queued
			demands = append(demands, PoolDemand{Pool: fmt.Sprint(n), Slots: slots, Running: running, Waiting: p.queued, Borrowed: p.borrowedInstances})
		}
		for _, loan := range l.DecideLoans(demands, now) {
			moves++
			arrive := func() { spare++ }
			if loan.Return {
				pools[loan.From[0]-'0'].borrowedInstances--
			} else {
				spare--
				arrive = func() { pools[loan.To[0]-'0'].borrowedInstances++ }
			}
			at := now.Add(moveTime)
			due[at] = append(due[at], arrive)
		}
	}
	return moves, waited
}

func (p *simulatedPool) setDemand(n int, t time.Duration, rng *rand.Rand) {
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

// A Lender moves no instances in short bursts of load, and few moves are enough
// in a lasting overload, because it waits before it lends and before it takes
// back.
func TestLendingWithHysteresisNeedsFewMoves(t *testing.T) {
	out := &strings.Builder{}
	_, _ = fmt.Fprintf(out, "%-16s %8s %22s\n", "lender", "moves", "waiting slot-seconds")
	run := func(name string, l interface {
		DecideLoans([]PoolDemand, time.Time) []Loan
	}) (int, int) {
		moves, waited := simulateLending(l)
		_, _ = fmt.Fprintf(out, "%-16s %8d %22d\n", name, moves, waited)
		return moves, waited
	}
	_, without := run("no loans", noLending{})
	greedyMoves, _ := run("no hysteresis", greedyLender{})
	moves, waited := run("hysteresis", NewLender(DefaultLendOptions()))
	requireGolden(t, "lending.golden", out.String())
	require.Less(t, moves*10, greedyMoves)
	require.Less(t, waited*2, without)
}
