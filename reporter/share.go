package reporter

import (
	"cmp"
	"slices"

	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// ShareRow compares the slots that one team runs in one pool with its fair share.
type ShareRow struct {
	Team     string  `json:"team"`
	Customer string  `json:"customer"`
	Pool     string  `json:"pool"`
	Share    int     `json:"share"`    // weight relative to other teams
	Limit    int     `json:"limit"`    // maximum slots across all pools
	Running  int     `json:"running"`  // slots
	Waiting  int     `json:"waiting"`  // slots of waiting tasks
	Fair     int     `json:"fair"`     // slots by weighted max-min fairness
	Distance float64 `json:"distance"` // (running - fair) / fair, with a divisor of at least 1
}

// ShareReport compares the slots that teams run in each pool with their fair
// shares, by the last heartbeat of every entry. Rows are sorted by pool and team;
// teams without running or waiting tasks are left out.
func ShareReport(rules *parser.Rules, loads []messenger.Heartbeat) []ShareRow {
	capacity := make(map[string]int)
	rows := make(map[string]map[string]*ShareRow) // by pool and team
	for _, load := range loads {
		for _, p := range load.Pools {
			capacity[p.Pool] += p.Slots
		}
		for _, t := range load.Teams {
			row := findOrAddRow(rows, t.Pool, t.Team)
			row.Running += t.Running
			row.Waiting += t.Waiting
		}
	}
	var all []ShareRow
	for pool, byTeam := range rows {
		all = append(all, fillRows(rules, capacity[pool], byTeam)...)
	}
	slices.SortFunc(all, func(a, b ShareRow) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Team, b.Team))
	})
	return all
}

func findOrAddRow(rows map[string]map[string]*ShareRow, pool, team string) *ShareRow {
	if rows[pool] == nil {
		rows[pool] = make(map[string]*ShareRow)
	}
	row, ok := rows[pool][team]
	if !ok {
		row = &ShareRow{Team: team, Pool: pool}
		rows[pool][team] = row
	}
	return row
}

// fillRows fills in the fields of the rows of one pool that come from the
// rules and the fair shares, and returns the rows.
func fillRows(rules *parser.Rules, capacity int, byTeam map[string]*ShareRow) []ShareRow {
	var demands []granter.Demand
	for _, t := range rules.Teams {
		row, ok := byTeam[t.Name]
		if !ok {
			continue
		}
		row.Customer, row.Share, row.Limit = t.Customer, t.Share, t.Limit
		demands = append(demands, granter.Demand{Team: t.Name, Weight: t.Share, Limit: t.Limit, Demand: row.Running + row.Waiting})
	}
	fair := granter.Shares(capacity, demands)
	var rows []ShareRow
	for _, row := range byTeam {
		row.Fair = fair[row.Team]
		row.Distance = float64(row.Running-row.Fair) / float64(max(1, row.Fair))
		rows = append(rows, *row)
	}
	return rows
}
