package parser

// rule reads one rule and returns what adds it to a set, or nil when its
// first word is unknown.
func (l *line) rule(comment string) func(*Rules) {
	switch l.choice(teamKind, queueKind, poolKind, keyKind, budgetKind, objectiveKind) {
	case teamKind:
		return l.team(comment)
	case queueKind:
		return l.queue(comment)
	case poolKind:
		return l.pool(comment)
	case keyKind:
		return l.key(comment)
	case budgetKind:
		return l.budget(comment)
	case objectiveKind:
		return l.objective(comment)
	default:
		return nil
	}
}

func (l *line) team(comment string) func(*Rules) {
	t := Team{Comment: comment}
	t.Name = l.define(teamKind)
	l.choice("customer")
	t.Customer, _ = l.name()
	l.choice("share")
	t.Share = l.count(1)
	l.choice("limit")
	t.Limit = l.count(0)
	return func(r *Rules) { r.Teams = append(r.Teams, t) }
}

func (l *line) queue(comment string) func(*Rules) {
	q := Queue{Comment: comment}
	q.Name = l.define(queueKind)
	l.choice("team")
	q.Team = l.use(teamKind)
	q.Open = l.optional("open")
	l.choice("service")
	q.Service, _ = l.name()
	l.choice("pool")
	q.Pool = l.use(poolKind)
	l.choice("bound")
	q.Bound = l.count(1)
	return func(r *Rules) { r.Queues = append(r.Queues, q) }
}

func (l *line) pool(comment string) func(*Rules) {
	p := Pool{Comment: comment}
	p.Name = l.define(poolKind)
	p.Spare = l.optional("spare")
	if l.next < len(l.words) {
		l.choice("move-limit")
		p.MoveFor = l.duration()
		l.choice("then")
		p.Stalled = Stalled(l.choice(string(UndoMove), string(ContinueMove)))
	}
	return func(r *Rules) { r.Pools = append(r.Pools, p) }
}

func (l *line) key(comment string) func(*Rules) {
	k := Key{Comment: comment}
	k.ID = l.define(keyKind)
	switch l.choice("team", "operator") {
	case "team":
		k.Team = l.use(teamKind)
	case "operator":
		k.Operator = true
	}
	l.choice("hash")
	k.Hash = l.hash()
	return func(r *Rules) { r.Keys = append(r.Keys, k) }
}

func (l *line) budget(comment string) func(*Rules) {
	b := Budget{Comment: comment}
	b.Scope = Scope(l.choice(string(PoolScope), string(ZoneScope), string(RackScope)))
	b.Name = l.budgeted(b.Scope)
	l.choice("max-absent")
	b.MaxAbsent = l.count(0)
	return func(r *Rules) { r.Budgets = append(r.Budgets, b) }
}

// budgeted takes the object that a budget bounds. Pools must be defined;
// zones and racks are the platform's.
func (l *line) budgeted(scope Scope) string {
	at := l.next
	name := Every
	switch {
	case l.optional(Every):
	case scope == PoolScope:
		name = l.use(poolKind)
	default:
		name, _ = l.name()
	}
	if !l.broken && name != "" {
		l.file.define(object{budgetKind, string(scope) + " " + name}, place{l.number, l.words[at].column})
	}
	return name
}

func (l *line) objective(comment string) func(*Rules) {
	o := Objective{Comment: comment}
	name, at := l.name()
	if name != "" {
		l.file.define(object{objectiveKind, name}, at)
		l.file.uses = append(l.file.uses, use{object{queueKind, name}, at})
	}
	o.Queue = name
	l.choice("within")
	o.Within = l.duration()
	l.choice("target")
	o.Target = l.percent()
	return func(r *Rules) { r.Objectives = append(r.Objectives, o) }
}
