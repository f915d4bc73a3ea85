// Package registrar registers entries with the platform's key-value service,
// follows the membership and judges whether an entry may have missed a change.
package registrar
