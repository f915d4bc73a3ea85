package granter

import (
	"fmt"
	"strconv"
	"time"

	"github.com/coltsfootlever/coltsfootlever/recorder"
)

// WithCoordinatorJournal sets the function that records decisions about team
// limits and grants.
func WithCoordinatorJournal(journal func(recorder.Decision)) CoordinatorOption {
	return func(c *Coordinator) { c.journal = journal }
}

// recordAccountChanges records how a write changed the limit of a team, its
// limit in force, and the grants of departed members. Changes of targets are
// not recorded, because they follow the load.
func (c *Coordinator) recordAccountChanges(before, after Account) {
	if before.Limit != after.Limit {
		c.recordTeamDecision(after, fmt.Sprintf("limit changed from %d to %d by rules %d", before.Limit, after.Limit, after.Rules))
	}
	if before.InForce != after.InForce {
		c.recordTeamDecision(after, fmt.Sprintf("limit in force changed from %d to %d", before.InForce, after.InForce))
	}
	for _, g := range before.Grants {
		if _, kept := after.Grant(g.Member); !kept && g.Held > 0 {
			c.recordTeamDecision(after, fmt.Sprintf("%d slots reclaimed from %s, which has departed", g.Held, g.Member))
		}
	}
}

func (c *Coordinator) recordTeamDecision(a Account, action string) {
	c.journal(recorder.Decision{
		Time:    time.Now(),
		Kind:    recorder.Team,
		Subject: a.Team,
		Action:  action,
		Facts: []recorder.Fact{
			{Name: "limit", Value: strconv.Itoa(a.Limit)},
			{Name: "in-force", Value: strconv.Itoa(a.InForce)},
			{Name: "held", Value: strconv.Itoa(a.Held())},
		},
	})
}
