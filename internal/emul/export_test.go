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
