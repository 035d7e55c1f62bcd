package simul

import (
	"testing"

	"pgregory.net/rapid"
)

// TestHistories guards against overspent and lost tokens. It runs random sequences
// of requests, transfers, crashes and lost answers and compares the state after each
// step with a reference ledger, which sees every run and every record.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for _, b := range worldBudgets {
			w.pay("first-"+b, b, 600)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"top-up":     w.topUp,
			"turn":       w.turn,
			"turn2":      w.turn,
			"reserve":    w.reserve,
			"reserve2":   w.reserve,
			"serve":      w.serve,
			"serve2":     w.serve,
			"serve3":     w.serve,
			"serve4":     w.serve,
			"send":       w.send,
			"send2":      w.send,
			"cancel":     w.cancel,
			"start":      w.start,
			"start2":     w.start,
			"finish":     w.finish,
			"finish2":    w.finish,
			"answer":     w.answer,
			"sideAppend": w.sideAppend,
			"nodeAppend": w.nodeAppend,
			"nodePlan":   w.nodePlan,
			"nodeRead":   w.nodeRead,
			"transfer":   w.transfer,
			"deliver":    w.deliver,
			"crash":      w.crash,
			"late":       w.late,
			"fence":      w.fence,
			"reclaim":    w.reclaim,
			"checkpoint": w.checkpoint,
			"expire":     w.expire,
			"restore":    w.restore,
			"stop":       w.stop,
			"":           w.check,
		})
		w.quiesce()
	})
}
