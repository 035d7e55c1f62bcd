package emul

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Count counts a set of requests by outcome.
type Count struct {
	Asked   int `json:"asked"`
	InAim   int `json:"in-aim"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Earned is the credit for the responses, in time or late. Owed is the credit
	// that responses in time to all requests would earn.
	Earned float64 `json:"earned"`
	Owed   float64 `json:"owed"`
}

// Worth returns Earned divided by Owed, or 0 if Owed is 0.
func (c Count) Worth() float64 {
	if c.Owed == 0 {
		return 0
	}
	return c.Earned / c.Owed
}

// Report is the result of a scenario.
type Report struct {
	All           Count            `json:"all"`
	Kinds         map[string]Count `json:"kinds"`
	Organisations map[string]Count `json:"organisations"`
	// Used is the number of tokens delivered to each organisation: the prompt of each
	// response that began, and the output that reached the caller.
	Used map[string]int64 `json:"used"`
	// Attempts counts the attempts of all requests. Returned counts the refused
	// attempts that the caller retried.
	Attempts int `json:"attempts"`
	Returned int `json:"returned"`
	// TakenUp counts the tries that take up a stream that broke off, and WentOn the streams
	// that were completed so.
	TakenUp int `json:"taken-up"`
	WentOn  int `json:"went-on"`
	// Crashes is the number of targets that crashing requests ended.
	Crashes int `json:"crashes"`
	// Violations describes each broken rule, with the request or organisation.
	Violations []string `json:"broken"`
}

// tally collects a report from concurrent callers.
type tally struct {
	mu sync.Mutex
	r  Report
}

// attempt counts one attempt of a request, and whether the caller will retry it.
func (t *tally) attempt(again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.Attempts++
	if again {
		t.r.Returned++
	}
}

// takeUp counts a try that takes up a stream.
func (t *tally) takeUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.TakenUp++
}

// wentOn counts a stream that was taken up and completed.
func (t *tally) wentOn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.WentOn++
}

// used counts the tokens of a request whose response began.
func (t *tally) used(org string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.Used[org] += n
}

// violation records a broken rule.
func (t *tally) violation(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.Violations = append(t.r.Violations, what)
}

// end counts a request by its final outcome.
func (t *tally) end(a request, outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.All.add(a.kind, outcome)
	addTo(t.r.Kinds, a.kind.Name, a.kind, outcome)
	addTo(t.r.Organisations, a.org.Name, a.kind, outcome)
}

func addTo(m map[string]Count, name string, k *Kind, outcome string) {
	c := m[name]
	c.add(k, outcome)
	m[name] = c
}

func (c *Count) add(k *Kind, outcome string) {
	c.Asked++
	c.Owed += k.Credit
	switch outcome {
	case inAim:
		c.InAim++
		c.Earned += k.Credit
	case late:
		c.Late++
		c.Earned += k.LateCredit
	case refused:
		c.Refused++
	case failed:
		c.Failed++
	}
}

// Run runs a scenario and returns its report. All parts write their log lines to
// logs. An error means that the fleet did not start.
func Run(ctx context.Context, s Scenario, logs io.Writer) (Report, error) {
	return runScenario(ctx, s, logs, func(*fleet) {})
}

// runScenario runs a scenario. It calls beforeAudit between the end of the fleet and the
// audit.
func runScenario(ctx context.Context, s Scenario, logs io.Writer, beforeAudit func(*fleet)) (Report, error) {
	f, err := start(ctx, s, logs)
	if err != nil {
		return Report{}, err
	}
	t := &tally{r: Report{Kinds: make(map[string]Count), Organisations: make(map[string]Count), Used: make(map[string]int64), Violations: []string{}}}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	playing, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { f.injectFaults(playing, time.Now()) })
	c := &caller{f: f, client: &http.Client{Transport: transport}, tally: t}
	c.load(ctx)
	stop()
	wg.Wait()
	transport.CloseIdleConnections()
	f.close()
	beforeAudit(f)
	f.audit(t)
	return t.r, nil
}

// audit records a broken rule for each organisation that used more tokens than it
// prepaid, and for each request that ran more than once without being repeatable.
func (f *fleet) audit(t *tally) {
	runsOnce := make(map[string]bool, len(f.s.Kinds))
	runs := make(map[string]int)
	for _, r := range f.targets {
		for _, e := range r.engines() {
			for id, n := range e.Runs() {
				runs[id] += n
			}
		}
	}
	ended, late := f.crashes.late(f.s.Settle)
	t.r.Crashes = ended
	for _, broken := range late {
		t.violation(broken)
	}
	for _, k := range f.s.Kinds {
		runsOnce[k.Name] = !k.Repeatable
	}
	for _, o := range f.s.Organisations {
		if used := t.r.Used[o.Name]; used > o.Tokens {
			t.violation(fmt.Sprintf("organisation %s used %d of %d tokens", o.Name, used, o.Tokens))
		}
	}
	for id, n := range runs {
		if kind, _, _ := strings.Cut(id, "/"); n > 1 && runsOnce[kind] {
			t.violation(fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	for _, broken := range f.limits.broken(f.s.Settle) {
		t.violation(broken)
	}
	for _, broken := range f.places.broken(f.s.ColdRate) {
		t.violation(broken)
	}
	slices.Sort(t.r.Violations)
}

// WriteText writes the report as tables with tab-separated columns.
func (r Report) WriteText(w io.Writer) {
	_, _ = fmt.Fprintln(w, "KIND\tASKED\tIN AIM\tLATE\tREFUSED\tFAILED\tWORTH")
	writeCounts(w, r.Kinds, nil)
	writeCount(w, "all", r.All, "")
	_, _ = fmt.Fprintln(w, "\nORGANISATION\tASKED\tIN AIM\tLATE\tREFUSED\tFAILED\tWORTH\tUSED")
	writeCounts(w, r.Organisations, r.Used)
	_, _ = fmt.Fprintf(w, "\n%d attempts, %d refused requests repeated by their callers\n", r.Attempts, r.Returned)
	if r.Crashes > 0 {
		_, _ = fmt.Fprintf(w, "%d crashes of targets\n", r.Crashes)
	}
	if r.TakenUp > 0 {
		_, _ = fmt.Fprintf(w, "%d tries to take up a stream, %d streams completed so\n", r.TakenUp, r.WentOn)
	}
	for _, b := range r.Violations {
		_, _ = fmt.Fprintln(w, "BROKEN:", b)
	}
}

func writeCounts(w io.Writer, m map[string]Count, used map[string]int64) {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		extra := ""
		if used != nil {
			extra = fmt.Sprintf("\t%d", used[name])
		}
		writeCount(w, name, m[name], extra)
	}
}

func writeCount(w io.Writer, name string, c Count, extra string) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f%s\n", name, c.Asked, c.InAim, c.Late, c.Refused, c.Failed, c.Worth(), extra)
}
