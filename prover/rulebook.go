package prover

import (
	"fmt"
	"strings"
	"sync"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
)

type (
	// rulesFile generates the rules file that operators apply and holds the
	// secrets of the API keys.
	rulesFile struct {
		mu      sync.Mutex
		limits  map[string]int    // by team
		keys    map[string]string // team by key ID
		secrets map[string]string // by key ID
	}

	queueRule struct {
		name, team, pool string
		open             bool // accepts requests without a key
	}
)

var queues = []queueRule{
	{name: "inquiries", team: "leads", pool: "scoring"},
	{name: "consent", team: "leads", pool: "cards"},
	{name: "renewals", team: "zoo", pool: "cards"},
	{name: "visits", team: "zoo", pool: "scoring", open: true},
	{name: "reports", team: "labs", pool: "scoring"},
}

func newRulesFile() *rulesFile {
	f := &rulesFile{
		limits:  map[string]int{"leads": 6, "zoo": 9, "labs": 3},
		keys:    make(map[string]string),
		secrets: map[string]string{"unknown": "no-such-secret"},
	}
	for _, team := range []string{"leads", "zoo", "labs"} {
		f.addKey(team+"-0", team)
		f.addKey(team+"-1", team)
	}
	return f
}

// addKey adds a key to a team, with a new secret each time.
func (f *rulesFile) addKey(id, team string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys[id] = team
	f.secrets[id] = fmt.Sprintf("secret-%s-%d", id, len(f.secrets))
}

func (f *rulesFile) removeKey(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.keys, id)
}

func (f *rulesFile) setLimit(team string, limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits[team] = limit
}

func (f *rulesFile) secret(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.secrets[key]
}

// text returns the rules in the syntax of a rules file.
func (f *rulesFile) text() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var s strings.Builder
	share := 1
	for _, team := range []string{"leads", "zoo", "labs"} {
		fmt.Fprintf(&s, "team %s customer c-%s share %d limit %d # prover\n", team, team, share, f.limits[team])
		share++
	}
	fmt.Fprintf(&s, "pool scoring move-limit 30s then undo # prover\n")
	fmt.Fprintf(&s, "pool cards move-limit 30s then continue # prover\n")
	fmt.Fprintf(&s, "pool spare spare move-limit 30s then undo # prover\n")
	for _, q := range queues {
		open := ""
		if q.open {
			open = "open "
		}
		fmt.Fprintf(&s, "queue %s team %s %sservice s-%s pool %s bound 20 # prover\n", q.name, q.team, open, q.name, q.pool)
	}
	fmt.Fprintf(&s, "budget pool * max-absent 1 # prover\nbudget zone * max-absent 2 # prover\nbudget rack * max-absent 2 # prover\n")
	for _, team := range []string{"leads", "zoo", "labs"} {
		for n := range 2 {
			id := fmt.Sprintf("%s-%d", team, n)
			if f.keys[id] == team {
				fmt.Fprintf(&s, "key %s team %s hash %s # prover\n", id, team, authenticator.Hash(f.secrets[id]))
			}
		}
	}
	return s.String()
}
