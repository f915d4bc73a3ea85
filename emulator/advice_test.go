package emulator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

var adviceSettings = modeler.Advice{BaseDelay: 20 * time.Millisecond, DelayPerWorker: 5 * time.Millisecond, TicketValidity: 3 * time.Second}

func TestAdviceServiceHandlesTheCallsOfAClientInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewAdviceService(adviceSettings)
		took := make(chan time.Duration, 3)
		began := time.Now()
		for _, client := range []string{"a", "a", "b"} {
			go func() {
				_, _, err := s.ClientFor(client).Advise(t.Context(), "j.0.0", []string{"w1", "w2"})
				require.NoError(t, err)
				took <- time.Since(began)
			}()
			synctest.Wait()
		}
		require.Equal(t, []time.Duration{30 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond}, []time.Duration{<-took, <-took, <-took})
	})
}

func TestAdviceServiceRefusesCallsWhileManyWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewAdviceService(adviceSettings)
		for range 33 { // one is being handled
			go func() { _, _, _ = s.ClientFor("a").Advise(t.Context(), "j.0.0", nil) }()
		}
		synctest.Wait()
		_, _, err := s.ClientFor("a").Advise(t.Context(), "j.0.0", nil)
		require.ErrorIs(t, err, modeler.ErrUnhealthy)
		time.Sleep(time.Second)
		require.Equal(t, emulator.AdviceCounts{Handled: 33, Refused: 1}, s.Counts())
	})
}

func TestAdviceServiceHandlesCallsThatWereGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewAdviceService(adviceSettings)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, _, err := s.ClientFor("a").Advise(ctx, "j.0.0", nil)
		require.Error(t, err)
		began := time.Now()
		_, _, err = s.ClientFor("a").Advise(t.Context(), "j.0.0", nil)
		require.NoError(t, err)
		require.Equal(t, 39*time.Millisecond, time.Since(began))
		require.Equal(t, emulator.AdviceCounts{Handled: 2, Abandoned: 1}, s.Counts())
	})
}

func TestTicketIsValidForAStepAndAProcessOfAWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewAdviceService(adviceSettings)
		s.Permits = func(_, worker string) bool { return worker == "w1" }
		boot := time.Now().UnixMilli()
		tickets, validity, err := s.ClientFor("a").Advise(t.Context(), "j.0.0", []string{"w1", "w2"})
		require.NoError(t, err)
		require.Len(t, tickets, 1)
		require.Equal(t, adviceSettings.TicketValidity, validity)
		check := func(worker string, boot int64, step int) bool {
			return s.CheckTicket(modeler.Worker{ID: worker, StartTimeMs: boot}, modeler.StartOrder{Task: modeler.TaskID{Job: "j", Step: step, Index: 3}, Ticket: tickets["w1"]})
		}
		require.True(t, check("w1", boot, 0))
		require.False(t, check("w2", boot, 0))
		require.False(t, check("w1", boot, 1))
		require.False(t, check("w1", time.Now().UnixMilli()+1, 0), "a process that started after the ticket was issued")
		time.Sleep(validity)
		require.False(t, check("w1", boot, 0))
	})
}
