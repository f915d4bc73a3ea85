package granter

type (
	// Account is the ledger record of one team.
	Account struct {
		Team    string
		Rules   uint64  // number of the rules that the limit comes from
		Limit   int     // limit the coordinator works towards
		InForce int     // limit that holds now; above Limit while slots are taken back
		Grants  []Grant // by member, sorted
	}

	// Grant is the slots that one member may run for the team.
	Grant struct {
		Member string // identity of the holder
		Held   int    // changed by the holder alone, or on evidence
		Target int    // changed by the coordinator alone
	}
)
