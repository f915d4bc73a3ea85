// Package postponer decides after how long refused callers should retry. Its
// functions depend on their arguments only.
package postponer
