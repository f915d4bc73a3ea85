package emulator_test

import (
	"context"
	"testing"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// BenchmarkSwap measures a write while 22 watches receive each change.
func BenchmarkSwap(b *testing.B) {
	store := emulator.NewStore()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 22 {
		go func() { _ = store.Watch(ctx, "", 0, func(keeper.Event) {}) }()
	}
	revision := int64(0)
	for b.Loop() {
		r, err := store.Swap(ctx, "key", []byte("value"), revision, 0)
		if err != nil {
			b.Fatal(err)
		}
		revision = r.Revision
	}
}
