package emul

import (
	"context"
	"io"
)

// RunLowered runs a scenario and lowers the prepaid tokens of all organisations to
// tokens just before the audit, so that the audit finds overspending.
func RunLowered(ctx context.Context, s Scenario, tokens int64) (Report, error) {
	return runScenario(ctx, s, io.Discard, func(f *fleet) {
		f.s.Organisations = append([]Organisation(nil), f.s.Organisations...)
		for i := range f.s.Organisations {
			f.s.Organisations[i].Tokens = tokens
		}
	})
}

// RunCountingRests runs a scenario. It also returns the number of responses in which
// targets asked for a rest.
func RunCountingRests(ctx context.Context, s Scenario) (r Report, asked int, err error) {
	r, err = runScenario(ctx, s, io.Discard, func(f *fleet) {
		for _, r := range f.targets {
			for _, e := range r.engines() {
				asked += e.AskedRest()
			}
		}
	})
	return r, asked, err
}
