// Package granter divides each team's limit of concurrent slots among the
// cluster members (the entries, which are the server processes of
// coltsfootlever). The share of one member is a grant. All grants of a team are
// stored in one record, the Account, which is changed only by compare-and-swap,
// and their sum never exceeds the limit. The Accounts of all teams together are
// the ledger. A member starts a task only within a grant that it holds.
package granter
