package parser

// parseRule parses one rule and returns a function that adds the rule to a set,
// or nil when the first word names no known kind of rule.
func (l *lineParser) parseRule(comment string) func(*Rules) {
	switch l.parseOneOf(teamKind, queueKind, poolKind, keyKind, budgetKind, objectiveKind) {
	case teamKind:
		return l.parseTeam(comment)
	case queueKind:
		return l.parseQueue(comment)
	case poolKind:
		return l.parsePool(comment)
	case keyKind:
		return l.parseKey(comment)
	case budgetKind:
		return l.parseBudget(comment)
	case objectiveKind:
		return l.parseObjective(comment)
	default:
		return nil
	}
}

func (l *lineParser) parseTeam(comment string) func(*Rules) {
	t := Team{Comment: comment}
	t.Name = l.defineName(teamKind)
	l.parseOneOf("customer")
	t.Customer, _ = l.parseName()
	l.parseOneOf("share")
	t.Share = l.parseCount(1)
	l.parseOneOf("limit")
	t.Limit = l.parseCount(0)
	return func(r *Rules) { r.Teams = append(r.Teams, t) }
}

func (l *lineParser) parseQueue(comment string) func(*Rules) {
	q := Queue{Comment: comment}
	q.Name = l.defineName(queueKind)
	l.parseOneOf("team")
	q.Team = l.referToName(teamKind)
	q.Open = l.optionalWord("open")
	l.parseOneOf("service")
	q.Service, _ = l.parseName()
	l.parseOneOf("pool")
	q.Pool = l.referToName(poolKind)
	l.parseOneOf("bound")
	q.Bound = l.parseCount(1)
	return func(r *Rules) { r.Queues = append(r.Queues, q) }
}

func (l *lineParser) parsePool(comment string) func(*Rules) {
	p := Pool{Comment: comment}
	p.Name = l.defineName(poolKind)
	p.Spare = l.optionalWord("spare")
	if l.next < len(l.words) {
		l.parseOneOf("move-limit")
		p.MoveLimit = l.parseDuration()
		l.parseOneOf("then")
		p.OnMoveTimeout = MoveTimeoutAction(l.parseOneOf(string(UndoMove), string(ContinueMove)))
	}
	return func(r *Rules) { r.Pools = append(r.Pools, p) }
}

func (l *lineParser) parseKey(comment string) func(*Rules) {
	k := Key{Comment: comment}
	k.ID = l.defineName(keyKind)
	switch l.parseOneOf("team", "operator") {
	case "team":
		k.Team = l.referToName(teamKind)
	case "operator":
		k.Operator = true
	}
	l.parseOneOf("hash")
	k.Hash = l.parseHash()
	return func(r *Rules) { r.Keys = append(r.Keys, k) }
}

func (l *lineParser) parseBudget(comment string) func(*Rules) {
	b := Budget{Comment: comment}
	b.Scope = Scope(l.parseOneOf(string(PoolScope), string(ZoneScope), string(RackScope)))
	b.Name = l.parseBudgetName(b.Scope)
	l.parseOneOf("max-absent")
	b.MaxAbsent = l.parseCount(0)
	return func(r *Rules) { r.Budgets = append(r.Budgets, b) }
}

// parseBudgetName parses the pool, zone or rack that a budget applies to, or
// Wildcard. Another rule must define the pool; zones and racks come from the
// platform and are not checked.
func (l *lineParser) parseBudgetName(scope Scope) string {
	at := l.next
	name := Wildcard
	switch {
	case l.optionalWord(Wildcard):
	case scope == PoolScope:
		name = l.referToName(poolKind)
	default:
		name, _ = l.parseName()
	}
	if !l.aborted && name != "" {
		l.file.recordDefinition(objectKey{budgetKind, string(scope) + " " + name}, position{l.number, l.words[at].column})
	}
	return name
}

func (l *lineParser) parseObjective(comment string) func(*Rules) {
	o := Objective{Comment: comment}
	name, at := l.parseName()
	if name != "" {
		l.file.recordDefinition(objectKey{objectiveKind, name}, at)
		l.file.references = append(l.file.references, reference{objectKey{queueKind, name}, at})
	}
	o.Queue = name
	l.parseOneOf("within")
	o.Within = l.parseDuration()
	l.parseOneOf("target")
	o.Target = l.parsePercent()
	return func(r *Rules) { r.Objectives = append(r.Objectives, o) }
}
