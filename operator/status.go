package operator

import "context"

type (
	// TeamReply describes one team of the rules in force.
	TeamReply struct {
		Name     string `json:"name"`
		Customer string `json:"customer"`
		Share    int    `json:"share"`
		Limit    int    `json:"limit"`
		InForce  int    `json:"in-force"` // limit enforced now; above Limit until the slots over a lowered Limit are returned
		Running  int    `json:"running"`  // slots in use that this entry knows of
		Comment  string `json:"comment"`
	}

	// TeamUsage is the limit of slots that is enforced for a team now and the
	// number of slots that the team uses.
	TeamUsage struct {
		InForce int
		Running int
	}

	// Status is the state of an entry and of its peers as the entry knows it.
	Status struct {
		Entry    string         `json:"entry"`
		Zone     string         `json:"zone"`
		Standing string         `json:"standing"` // connected, outage or isolated
		Store    bool           `json:"store"`    // whether the key-value service responds
		Rules    uint64         `json:"rules"`    // number of the rules in force
		View     uint64         `json:"view"`     // number of the membership view
		Members  []MemberStatus `json:"members"`
		Pools    []PoolStatus   `json:"pools"`
	}

	// MemberStatus is the state of one registered entry.
	MemberStatus struct {
		ID      string `json:"id"`
		Zone    string `json:"zone"`
		Address string `json:"address"`
		State   string `json:"state"`
		Rules   uint64 `json:"rules"` // number of the rules in force that the entry reported last
	}

	// PoolStatus counts the slots, running tasks and waiting jobs of the entry
	// in one pool.
	PoolStatus struct {
		Pool    string `json:"pool"`
		Slots   int    `json:"slots"`
		Running int    `json:"running"`
		Waiting int    `json:"waiting"`
	}

	teamsResource struct {
		rules RulesSource
		usage func(team string) TeamUsage
	}

	statusResource struct {
		status func() Status
	}
)

// TeamsResource returns the resource for the teams. The function usage may be
// nil; then the limit in the rules is reported as the limit in force.
func TeamsResource(rules RulesSource, usage func(team string) TeamUsage) Resource {
	return teamsResource{rules, usage}
}

// StatusResource returns the resource for the state of the entry.
func StatusResource(status func() Status) Resource {
	return statusResource{status}
}

// Routes implements Resource.
func (res teamsResource) Routes() []Route {
	return []Route{{"GET /teams", res.list}}
}

func (res teamsResource) list(context.Context, *Request) (any, error) {
	replies := []TeamReply{}
	rules := res.rules.Rules()
	if rules == nil {
		return replies, nil
	}
	for _, t := range rules.Teams {
		usage := TeamUsage{InForce: t.Limit}
		if res.usage != nil {
			usage = res.usage(t.Name)
		}
		replies = append(replies, TeamReply{
			Name:     t.Name,
			Customer: t.Customer,
			Share:    t.Share,
			Limit:    t.Limit,
			InForce:  usage.InForce,
			Running:  usage.Running,
			Comment:  t.Comment,
		})
	}
	return replies, nil
}

// Routes implements Resource.
func (res statusResource) Routes() []Route {
	return []Route{{"GET /status", func(context.Context, *Request) (any, error) { return res.status(), nil }}}
}
