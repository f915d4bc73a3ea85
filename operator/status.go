package operator

import "context"

type (
	// TeamReply is one team in force.
	TeamReply struct {
		Name     string `json:"name"`
		Customer string `json:"customer"`
		Share    int    `json:"share"`
		Limit    int    `json:"limit"`
		InForce  int    `json:"in-force"` // limit that holds now; above Limit while slots are taken back
		Running  int    `json:"running"`  // slots in use as far as this entry knows
		Comment  string `json:"comment"`
	}

	// TeamUse is what a team runs and may run.
	TeamUse struct {
		InForce int
		Running int
	}

	// Status is the state of an entry and of its peers as it sees them.
	Status struct {
		Entry    string         `json:"entry"`
		Zone     string         `json:"zone"`
		Standing string         `json:"standing"` // connected, outage or isolated
		Store    bool           `json:"store"`    // the key-value service answers
		Rules    uint64         `json:"rules"`    // number in force
		View     uint64         `json:"view"`     // number of the membership
		Members  []MemberStatus `json:"members"`
		Pools    []PoolStatus   `json:"pools"`
	}

	// MemberStatus is one registered entry.
	MemberStatus struct {
		ID      string `json:"id"`
		Zone    string `json:"zone"`
		Address string `json:"address"`
		State   string `json:"state"`
		Rules   uint64 `json:"rules"` // number it last said to have in force
	}

	// PoolStatus is what the entry owns and runs in one pool.
	PoolStatus struct {
		Pool    string `json:"pool"`
		Slots   int    `json:"slots"`
		Running int    `json:"running"`
		Waiting int    `json:"waiting"`
	}

	teamsNoun struct {
		rules Rules
		use   func(team string) TeamUse
	}

	statusNoun struct {
		status func() Status
	}
)

// TeamsNoun serves the teams. use may be nil: then the limit of the rules
// counts as the one in force.
func TeamsNoun(rules Rules, use func(team string) TeamUse) Noun {
	return teamsNoun{rules, use}
}

// StatusNoun serves the state of the entry.
func StatusNoun(status func() Status) Noun {
	return statusNoun{status}
}

// Routes implements Noun.
func (n teamsNoun) Routes() []Route {
	return []Route{{"GET /teams", n.list}}
}

func (n teamsNoun) list(context.Context, *Request) (any, error) {
	replies := []TeamReply{}
	rules := n.rules.Rules()
	if rules == nil {
		return replies, nil
	}
	for _, t := range rules.Teams {
		use := TeamUse{InForce: t.Limit}
		if n.use != nil {
			use = n.use(t.Name)
		}
		replies = append(replies, TeamReply{
			Name:     t.Name,
			Customer: t.Customer,
			Share:    t.Share,
			Limit:    t.Limit,
			InForce:  use.InForce,
			Running:  use.Running,
			Comment:  t.Comment,
		})
	}
	return replies, nil
}

// Routes implements Noun.
func (n statusNoun) Routes() []Route {
	return []Route{{"GET /status", func(context.Context, *Request) (any, error) { return n.status(), nil }}}
}
