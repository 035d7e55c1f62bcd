package trial

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// check compares with the naive ledger.
func (w *world) check(t *rapid.T) {
	w.catchUp()
	for _, name := range worldBudgets {
		b, _ := w.ledger.Budget(name)
		if b.Paid != w.paid[name] {
			t.Fatalf("budget %s: paid %d, the naive ledger has %d", name, b.Paid, w.paid[name])
		}
		if b.Billed != w.bills[name] {
			t.Fatalf("budget %s: billed %d, the naive ledger has %d", name, b.Billed, w.bills[name])
		}
		if n := w.admitted(name); n > w.paid[name] {
			t.Fatalf("budget %s: %d tokens admitted, %d paid", name, n, w.paid[name])
		}
		if n := w.admitted(name) + w.open(name) + w.held(name); n > w.paid[name] {
			t.Fatalf("budget %s: %d tokens admitted, reserved or free at nodes, %d paid", name, n, w.paid[name])
		}
	}
	if w.ledger.Stats.Overdrawn != 0 || w.ledger.Stats.ClosedCharges != 0 {
		t.Fatalf("a usage was not billed in full: %+v", w.ledger.Stats)
	}
}

func (w *world) catchUp() {
	_ = w.all.Feed(logsvc.Page{First: 1, Next: w.log.next(), Records: w.log.records[w.all.Offset():]}) // no gap from 1 on
}

// admitted sums the bills and the runs that are not billed: what ended at its
// use, what runs at its bound. A rerun of a billed request costs nobody.
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

// open sums the reservations that are not at a side yet.
func (w *world) open(budget string) ledger.Tokens {
	var n ledger.Tokens
	for _, tk := range w.tickets {
		if tk.budget != budget || w.billed[tk.request] {
			continue
		}
		for _, c := range tk.charges {
			if !w.reclaimed[c.Holder] {
				n += c.Tokens
			}
		}
	}
	return n
}

// held sums the free tokens of all nodes that a side would still accept.
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

// quiesce ends all runs, closes all holders with proof, and checks that every
// token is either billed or free again.
func (w *world) quiesce() {
	for _, r := range w.runs {
		if !r.ended {
			r.end(w, sum(r.charges))
		}
	}
	for _, s := range w.sides {
		for s.writer.Next() != nil {
			w.append(s.writer.Next())
			s.writer.Done()
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
			w.t.Fatalf("budget %s at the end: %+v, the naive ledger has paid %d, billed %d", name, b, w.paid[name], w.bills[name])
		}
	}
}
