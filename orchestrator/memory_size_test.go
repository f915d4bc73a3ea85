package orchestrator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// The memory of a gang's tasks, which are built at once, did not count when its job was accepted.
func TestDefinitionBytesCountsTasksThatAreBuiltAtOnce(t *testing.T) {
	for _, s := range []modeler.Step{{Count: 5000, Gang: true}, {Count: 5000, LongRunning: true}} {
		def := modeler.Job{Steps: []modeler.Step{s}}
		require.GreaterOrEqual(t, DefinitionBytes(&def), int64(5000*taskBytes))
		require.Equal(t, DefinitionBytes(&def), newJob(def, &customerState{}).memory(), "tasks count once")
	}
}
