package reporter

import (
	"cmp"
	"slices"

	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// ShareRow tells how near one team comes to its share in one pool.
type ShareRow struct {
	Team     string  `json:"team"`
	Customer string  `json:"customer"`
	Pool     string  `json:"pool"`
	Share    int     `json:"share"`    // weight
	Limit    int     `json:"limit"`    // across all pools
	Running  int     `json:"running"`  // slots
	Waiting  int     `json:"waiting"`  // slots of waiting tasks
	Fair     int     `json:"fair"`     // slots by weighted max-min
	Distance float64 `json:"distance"` // of running from fair, relative to fair
}

// ShareReport compares what teams run with their fair shares of each pool by
// the last loads of all entries. Rows are sorted by pool and team; teams
// without work are left out.
func ShareReport(rules *parser.Rules, loads []messenger.Heartbeat) []ShareRow {
	capacity := make(map[string]int)
	rows := make(map[string]map[string]*ShareRow) // by pool and team
	for _, load := range loads {
		for _, p := range load.Pools {
			capacity[p.Pool] += p.Slots
		}
		for _, t := range load.Teams {
			row := rowOf(rows, t.Pool, t.Team)
			row.Running += t.Running
			row.Waiting += t.Waiting
		}
	}
	var all []ShareRow
	for pool, byTeam := range rows {
		all = append(all, poolRows(rules, capacity[pool], byTeam)...)
	}
	slices.SortFunc(all, func(a, b ShareRow) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Team, b.Team))
	})
	return all
}

func rowOf(rows map[string]map[string]*ShareRow, pool, team string) *ShareRow {
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

// poolRows completes the rows of one pool.
func poolRows(rules *parser.Rules, capacity int, byTeam map[string]*ShareRow) []ShareRow {
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
