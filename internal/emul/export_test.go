package emul

import (
	"context"
	"io"
)

// PlayLowered plays a scenario and lowers the prepaid tokens of all organisations to
// tokens just before the audit, which makes the audit find a fault.
func PlayLowered(ctx context.Context, s Scenario, tokens int64) (Report, error) {
	return play(ctx, s, io.Discard, func(f *fleet) {
		f.s.Organisations = append([]Organisation(nil), f.s.Organisations...)
		for i := range f.s.Organisations {
			f.s.Organisations[i].Tokens = tokens
		}
	})
}
