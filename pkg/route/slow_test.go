package route

import (
	"testing"
	"time"
)

// TestSlowdown guards against work that goes to targets whose machines are busy with other
// work, as they report themselves: they get less than the others, and their usual part again
// when the report is old. Wrong reports don't withdraw a target for good.
func TestSlowdown(t *testing.T) {
	req := Request{Prompt: Prompt{Own: 2000}}
	for _, slowdown := range []float64{0, 1, 2, 1e9} {
		p, rnd := newPicker(6, Policy{Cost: true})
		shares := func(now time.Time) (slow int) {
			for range 60 {
				got, err := p.Pick(now, rnd, req)
				if err != nil {
					t.Fatal(err)
				}
				if got.Name == "t000" {
					slow++
				}
				p.Begin(now, got.Name, req)
			}
			for _, target := range p.targets {
				target.inFlight, target.prefillTokens = 0, 0
			}
			return slow
		}
		for i := range 20 {
			p.Report(start.Add(time.Duration(i)*10*time.Millisecond), "t000", Status{Slowdown: slowdown})
		}
		fresh, old := shares(start.Add(200*time.Millisecond)), shares(start.Add(10*time.Second))
		if slowdown > 1 && fresh >= old {
			t.Errorf("slowdown %v: the target gets %d of 60 requests, and %d when the report is old; want fewer", slowdown, fresh, old)
		}
		if slowdown <= 1 && fresh != old {
			t.Errorf("slowdown %v: the target gets %d of 60 requests, and %d when the report is old; want the same", slowdown, fresh, old)
		}
	}
}
