package server

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// fakeMembership is a membership whose isolation the test sets.
type fakeMembership struct{ isolated bool }

func (j *fakeMembership) CheckFreshness() error {
	if j.isolated {
		return errors.New("isolated")
	}
	return nil
}

func (j *fakeMembership) Connectivity() registrar.Connectivity { return registrar.Connected }

// TestRulesStayStaleUntilReadAgain guards against an entry that acts on old rules:
// after isolation or a pause, contact with the key-value service is not enough.
func TestRulesStayStaleUntilReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := &fakeMembership{}
		f := newFreshness(j, 3*time.Second)
		require.NoError(t, f.check())
		j.isolated = true
		require.Error(t, f.check())
		j.isolated = false
		require.NoError(t, f.check(), "isolated for less than maxGap")
		j.isolated = true
		time.Sleep(4 * time.Second)
		require.Error(t, f.check())
		j.isolated = false
		require.Error(t, f.check(), "the rules have not been read since the isolation")
		time.Sleep(time.Second)
		f.markRulesRead(time.Now())
		require.NoError(t, f.check())
		time.Sleep(10 * time.Second)
		require.Error(t, f.check(), "no check for longer than maxGap: the process was paused")
		f.markRulesRead(time.Now().Add(-time.Second))
		require.Error(t, f.check(), "a read that started before the gap was noticed does not count")
	})
}
