// Package registrar registers this entry process as a member in the platform's
// key-value service, follows the membership, and judges whether the entry may
// have missed a change.
package registrar
