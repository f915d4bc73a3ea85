// Package demonstrator runs a complete fleet in one process: an emulated platform
// with workers, entries on the loopback interface and callers that send requests.
// It injects faults on request and counts the outcomes that the callers received
// and the tasks that the emulated workers ran.
package demonstrator

import (
	"fmt"
	"strings"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
)

// Size of the fleet.
const (
	serviceCount   = 5 // each service has one pool
	slotsPerWorker = 8
	workersPerRack = 4
	entryCount     = 7
	spareWorkers   = 2 // in the pool "spare"
)

type (
	// teamSpec is a team of a customer, with its share and its limit in slots.
	teamSpec struct {
		name, customer string
		share, limit   int
	}

	// queueSpec is the queue of a team in a pool. An open queue needs no key.
	queueSpec struct {
		name, team, pool, key string
		open                  bool
		service               int     // number of the service of the pool; the queues of a service burst together
		meanRate              float64 // requests per second
	}

	// poolSpec is a pool of workers.
	poolSpec struct {
		name    string
		workers int
	}
)

var (
	zones = []string{"zone-a", "zone-b", "zone-c"}

	pools = []poolSpec{
		{"match", 12}, {"score", 10}, {"consent", 8}, {"cards", 10}, {"gate", 8},
	}

	teamSpecs = []teamSpec{
		{"leads", "kasal", 40, 120},
		{"planners", "kasal", 20, 100},
		{"scoring", "kasal", 10, 60},
		{"consent", "kasal", 30, 80},
		{"members", "zoo", 40, 120},
		{"schools", "zoo", 20, 60},
	}

	// meanRates has an element for each pool, in the order of pools: the teams
	// that use the pool, with their mean rate in requests per second.
	meanRates = [serviceCount]map[string]float64{
		{"leads": 50, "planners": 40},
		{"scoring": 30, "leads": 50},
		{"consent": 40, "planners": 30},
		{"members": 50, "schools": 30},
		{"schools": 30, "members": 40},
	}
)

// queueSpecs returns the queues: one for each pool and each team that uses the
// pool. Only the queue of team schools in the pool gate is open.
func queueSpecs(keys map[string]string) []queueSpec {
	var queues []queueSpec
	for service, pool := range pools {
		for _, team := range teamSpecs {
			meanRate, uses := meanRates[service][team.name]
			if !uses {
				continue
			}
			q := queueSpec{name: pool.name + "-" + team.name, team: team.name, pool: pool.name, service: service, meanRate: meanRate}
			q.open = pool.name == "gate" && team.name == "schools"
			if !q.open {
				q.key = keys[team.name]
			}
			queues = append(queues, q)
		}
	}
	return queues
}

// rulesText returns the text of the rules for the teams, pools, queues and keys.
func rulesText(keys map[string]string, queues []queueSpec) string {
	var b strings.Builder
	for _, t := range teamSpecs {
		fmt.Fprintf(&b, "team %s customer %s share %d limit %d # asked by the %s desk\n", t.name, t.customer, t.share, t.limit, t.customer)
	}
	for _, p := range pools {
		fmt.Fprintf(&b, "pool %s # asked by operations\n", p.name)
	}
	b.WriteString("pool spare spare # asked by operations\n")
	for _, q := range queues {
		open := ""
		if q.open {
			open = " open"
		}
		fmt.Fprintf(&b, "queue %s team %s%s service %s pool %s bound 600 # asked by team %s\n", q.name, q.team, open, q.pool, q.pool, q.team)
		fmt.Fprintf(&b, "objective %s within 5s target 99%% # asked by team %s\n", q.name, q.team)
	}
	for _, t := range teamSpecs {
		fmt.Fprintf(&b, "key k-%s team %s hash %s # given to the %s desk\n", t.name, t.name, authenticator.Hash(keys[t.name]), t.customer)
	}
	fmt.Fprintf(&b, "key k-extra team leads hash %s # given to the kasal desk, to be withdrawn\n", authenticator.Hash(keys["extra"]))
	b.WriteString("budget pool * max-absent 2 # asked by operations\n")
	b.WriteString("budget zone * max-absent 4 # asked by operations\n")
	return b.String()
}
