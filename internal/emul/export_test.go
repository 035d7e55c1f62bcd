package emul

import (
	"context"
	"io"
	"net"
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

// StartOnTakenAddress starts a fleet, and one more instance whose address another listener
// has taken since it was chosen. It returns whether the instance is ready at another address.
func StartOnTakenAddress(ctx context.Context, s Scenario) (moved bool, err error) {
	f, err := start(ctx, s, io.Discard)
	if err != nil {
		return false, err
	}
	defer f.close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer func() { _ = l.Close() }()
	in := &instance{f: f, link: f.instances[0].link, options: f.instances[0].options}
	in.options.Instance, in.options.Listen = "late", l.Addr().String()
	err = in.startFirst()
	return in.options.Listen != l.Addr().String(), err
}
