package assigner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/assigner"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// TestIndexChoosesLikeChooseWorker guards against an index that is out of date after
// changes of workers, or breaks ties in another way than the scan of all workers.
func TestIndexChoosesLikeChooseWorker(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	random := func() modeler.Resources {
		return modeler.Resources{CPU: 1000 * rng.Int64N(9), Memory: 1000 * rng.Int64N(9), GPU: rng.Int64N(2)}
	}
	for range 50 {
		var x assigner.Index
		workers := make([]*assigner.Worker, 1+rng.IntN(30))
		for i := range workers {
			workers[i] = &assigner.Worker{Name: fmt.Sprintf("%02d", i), Unavailable: true}
		}
		for range 200 {
			switch w := workers[rng.IntN(len(workers))]; rng.IntN(8) {
			case 0:
				w.Unavailable = true
				x.Remove(w)
			case 1:
				w.Capacity = random()
				fallthrough
			default:
				w.Free, w.Unavailable = random().Min(w.Capacity), false
				x.Put(w)
			}
			need := random()
			i := assigner.ChooseWorker(workers, assigner.Request{Resources: need}, func(int) int { return 0 })
			if i < 0 {
				require.Nil(t, x.Choose(need))
			} else {
				require.Same(t, workers[i], x.Choose(need))
			}
		}
	}
}
