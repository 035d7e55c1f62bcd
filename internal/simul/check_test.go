package simul

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// check compares the state on the log with the reference ledger, and checks that no
// budget is overspent or overcommitted.
func (w *world) check(t *rapid.T) {
	w.catchUp()
	for _, name := range worldBudgets {
		b, _ := w.ledger.Budget(name)
		if b.Paid != w.paid[name] {
			t.Fatalf("budget %s: got %d tokens paid, want %d by the reference ledger", name, b.Paid, w.paid[name])
		}
		if b.Billed != w.bills[name] {
			t.Fatalf("budget %s: got %d tokens billed, want %d by the reference ledger", name, b.Billed, w.bills[name])
		}
		if n := w.admitted(name); n > w.paid[name] {
			t.Fatalf("budget %s: got %d tokens admitted, want at most the %d paid", name, n, w.paid[name])
		}
		if n := w.admitted(name) + w.open(name) + w.held(name); n > w.paid[name] {
			t.Fatalf("budget %s: got %d tokens admitted, reserved or free at nodes, want at most the %d paid", name, n, w.paid[name])
		}
	}
	if w.ledger.Stats.Overdrawn != 0 || w.ledger.Stats.ClosedCharges != 0 {
		t.Fatalf("a usage record was not billed in full: got %+v, want no overdrawn and no closed charges", w.ledger.Stats)
	}
}

func (w *world) catchUp() {
	_ = w.all.Feed(logsvc.Page{First: 1, Next: w.log.next(), Records: w.log.records[w.all.Offset():]}) // cannot fail: there is no gap
}

// admitted returns the tokens billed plus the tokens of unbilled runs. Ended runs
// count at their usage, and other runs at their bound. Repeated runs of a billed
// request are free.
func (w *world) admitted(budget string) ledger.Tokens {
	n := w.bills[budget]
	for _, r := range w.runs {
		if r.budget != budget || w.billed[r.request] {
			continue
		}
		if r.ended {
			n += sum(r.used)
		} else {
			n += sum(r.charges)
		}
	}
	return n
}

// open sums the reservations that no side process has checked yet.
func (w *world) open(budget string) ledger.Tokens {
	var n ledger.Tokens
	for _, res := range w.reservations {
		if res.budget != budget || w.billed[res.request] {
			continue
		}
		for _, c := range res.charges {
			if !w.reclaimed[c.Holder] {
				n += c.Tokens
			}
		}
	}
	return n
}

// held sums the free tokens of all nodes. It leaves out the tokens of reclaimed
// holders, because a side process rejects them.
func (w *world) held(budget string) ledger.Tokens {
	var n ledger.Tokens
	for _, node := range w.nodes {
		for _, l := range node.Holder.Lots(budget) {
			if !w.reclaimed[l.Holder] {
				n += l.Tokens
			}
		}
	}
	return n
}

func sum(charges []ledger.Charge) ledger.Tokens {
	var n ledger.Tokens
	for _, c := range charges {
		n += c.Tokens
	}
	return n
}

// quiesce ends all runs, appends all usage records and reclaims all holders. Then
// every token must be either billed or free.
func (w *world) quiesce() {
	for _, r := range w.runs {
		if !r.ended {
			r.end(w, sum(r.charges))
		}
	}
	for _, s := range w.sides {
		for s.writer.Next() != nil {
			w.append(s.writer.Next())
			s.writer.Confirm()
		}
	}
	for _, n := range w.nodes {
		for life := 1; life <= n.lives; life++ {
			w.log.AppendItem(ledger.Reclaim{Holder: ident.Incarnation(fmt.Sprintf("%s~%d", n.Name, life))})
		}
	}
	w.check(w.t)
	for _, name := range worldBudgets {
		if b, _ := w.ledger.Budget(name); b.Free != w.paid[name]-w.bills[name] || b.Holders != 0 {
			w.t.Fatalf("budget %s at the end: got %+v, want 0 holders and %d free (%d paid - %d billed)", name, b, w.paid[name]-w.bills[name], w.paid[name], w.bills[name])
		}
	}
}
