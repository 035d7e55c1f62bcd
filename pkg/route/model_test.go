package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// tick is the time step of the model.
	tick = 5 * time.Millisecond
	// modelTime is the simulated time, and warmUp is its first part, in which nothing
	// is measured.
	modelTime = 90 * time.Second
	warmUp    = 10 * time.Second
	// reportLag is the age of the load that a target reports.
	reportLag = 500 * time.Millisecond
	// silentTimeout is the time until a request to a silent target is retried
	// elsewhere: the deadline of the first event plus that of the probe.
	silentTimeout = 3 * time.Second
	// slots is the number of requests that a target runs at once.
	slots = 8
	// cachedPrefixes is the number of prefixes that fit in a target's cache.
	cachedPrefixes = 6
	// coldPrefill and warmPrefill are the prefill times of a long prompt without
	// and with its prefix in the cache.
	coldPrefill = 600 * time.Millisecond
	warmPrefill = 60 * time.Millisecond
	// shortPrefill is the prefill time of a prompt without a shared prefix.
	shortPrefill = 50 * time.Millisecond
	// ownTokens and sharedTokens are the sizes of a prompt and of its prefix in
	// tokens, and tokensPerMs is the prefill speed.
	ownTokens    = 1000
	sharedTokens = 9000
	tokensPerMs  = 16.7
	// meanDecode is the mean time from the first token to the last.
	meanDecode = time.Second
)

// scenario is a load and the faults of the targets.
type scenario struct {
	name string
	// rate is the number of requests per second.
	rate float64
	// prefixes is the number of different prefixes; 0 means short prompts only.
	prefixes int
	// slow is the speed of target 0, relative to the usual speed; 0 means the usual
	// speed.
	slow float64
	// silent is set if target 1 never responds.
	silent bool
	// hot is the share of the requests that all have the first prefix.
	hot float64
	// burst multiplies the rate at the first entry instance during the middle third
	// of the time.
	burst float64
	// serial makes engines read one prompt at a time, as engines with chunked
	// prefill do.
	serial bool
}

// balancer is the target choice of one entry instance.
type balancer interface {
	pick(now time.Time, rnd *rand.Rand, req Request) string
	sent(name string)
	done(name string)
	fail(now time.Time, name string)
	report(now time.Time, name string, s Status)
}

// engineObserver is a balancer that is shown the true state of the engines.
type engineObserver interface {
	observe(engines []*engine, prefix int)
}

// attemptObserver is a balancer that gets the whole attempt instead of only its
// target.
type attemptObserver interface {
	begin(now time.Time, name string, req Request, j *job)
}

// firstTokenObserver is a balancer that is notified of first tokens.
type firstTokenObserver interface {
	first(now time.Time, j *job)
}

// job is one request.
type job struct {
	router  int
	arrived int
	prefix  int
	decode  float64
	tried   []string

	sentAt   int
	prefill  float64
	progress float64
	first    bool
}

// engine is a target with continuous batching and a prefix cache.
type engine struct {
	name     string
	speed    float64
	waiting  []*job
	running  []*job
	history  []int64
	prefixes []int
}

// outcome is the result of a scenario with one policy.
type outcome struct {
	// p50, p95 and p99 are quantiles of the time to the first token.
	p50, p95, p99 time.Duration
	// warm is the share of the long prompts whose prefix was in the cache.
	warm float64
	// inAim is the share of the requests whose first token came within aim.
	inAim float64
}

// model simulates a scenario with one balancer in each of three data centres.
type model struct {
	scenario
	rnd       *rand.Rand
	now       int
	engines   []*engine
	byName    map[string]*engine
	balancers []balancer
	retries   map[int][]*job
	ttft      []time.Duration
	warm      int
	long      int
}

// modelTargets returns n targets, spread evenly over three data centres.
func modelTargets(n int) []Target {
	var list []Target
	for i := range n {
		list = append(list, Target{Name: fmt.Sprintf("t%03d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Address: "a"})
	}
	return list
}

func simulate(s scenario, policy func(dc string, list []Target) balancer) outcome {
	m := &model{scenario: s, rnd: rand.New(rand.NewPCG(1, 2)), byName: make(map[string]*engine), retries: make(map[int][]*job)}
	list := modelTargets(18)
	for i, t := range list {
		e := &engine{name: t.Name, speed: 1, history: make([]int64, int(reportLag/tick))}
		if i == 0 && s.slow > 0 {
			e.speed = s.slow
		}
		if i == 1 && s.silent {
			e.speed = 0
		}
		m.engines = append(m.engines, e)
		m.byName[t.Name] = e
	}
	for dc := range 3 {
		m.balancers = append(m.balancers, policy(fmt.Sprintf("dc%d", dc), list))
	}
	for m.now = range int(modelTime / tick) {
		m.step()
	}
	slices.Sort(m.ttft)
	at := func(q float64) time.Duration { return m.ttft[int(q*float64(len(m.ttft)-1))] }
	late, _ := slices.BinarySearch(m.ttft, aim+1)
	return outcome{inAim: float64(late) / float64(len(m.ttft)), p50: at(0.5), p95: at(0.95), p99: at(0.99), warm: float64(m.warm) / float64(max(1, m.long))}
}

// step simulates one tick.
func (m *model) step() {
	for range m.poisson(m.rate * tick.Seconds()) {
		m.send(m.arrival())
	}
	if third := int(modelTime/tick) / 3; m.burst > 0 && m.now > third && m.now < 2*third {
		for range m.poisson((m.burst - 1) * m.rate / 3 * tick.Seconds()) {
			j := m.arrival()
			j.router = 0
			m.send(j)
		}
	}
	for _, j := range m.retries[m.now] {
		m.send(j)
	}
	delete(m.retries, m.now)
	for _, e := range m.engines {
		if e.speed == 0 {
			m.timeOut(e)
			continue
		}
		m.run(e)
	}
}

// poisson returns a Poisson-distributed number with the mean, by counting
// exponential intervals.
func (m *model) poisson(mean float64) int {
	n := 0
	for sum := m.rnd.ExpFloat64(); sum < mean; sum += m.rnd.ExpFloat64() {
		n++
	}
	return n
}

// arrival returns a new request. Prefixes with small numbers are the most
// frequent.
func (m *model) arrival() *job {
	j := &job{router: m.rnd.IntN(3), arrived: m.now, decode: ticks(meanDecode) * m.rnd.ExpFloat64()}
	if m.prefixes > 0 {
		j.prefix = 1 + int(float64(m.prefixes)*m.rnd.Float64()*m.rnd.Float64())
		if m.hot > 0 && m.rnd.Float64() < m.hot {
			j.prefix = 1
		}
	}
	return j
}

func (m *model) send(j *job) {
	req := Request{Exclude: j.tried}
	req.Prompt.Own = ownTokens
	if j.prefix > 0 {
		req.Prompt.Shared = sharedTokens
		req.Prefix = HashPrefix([]byte{byte(j.prefix), byte(j.prefix >> 8)})
	}
	c := m.balancers[j.router]
	if s, ok := c.(engineObserver); ok {
		s.observe(m.engines, j.prefix)
	}
	e := m.byName[c.pick(m.time(), m.rnd, req)]
	if b, ok := c.(attemptObserver); ok {
		b.begin(m.time(), e.name, req, j)
	} else {
		c.sent(e.name)
	}
	j.sentAt, j.progress = m.now, 0
	if e.speed > 0 {
		m.report(j, e)
	}
	e.waiting = append(e.waiting, j)
}

// report passes the engine's load of reportLag ago to the job's router.
func (m *model) report(j *job, e *engine) {
	load := e.history[m.now%len(e.history)]
	m.balancers[j.router].report(m.time(), e.name, Status{Running: load})
}

// run advances the engine's requests by one tick.
func (m *model) run(e *engine) {
	e.history[m.now%len(e.history)] = int64(len(e.waiting) + len(e.running))
	for len(e.running) < slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.prefill = m.prefill(e, j)
		e.running = append(e.running, j)
	}
	reading := false
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if m.serial && !j.first {
			if reading {
				return false
			}
			reading = true
		}
		j.progress += e.speed
		if !j.first && j.progress >= j.prefill {
			j.first = true
			if w, ok := m.balancers[j.router].(firstTokenObserver); ok {
				w.first(m.time(), j)
			}
			m.recordTTFT(j)
		}
		if j.progress < j.prefill+j.decode {
			return false
		}
		m.balancers[j.router].done(e.name)
		m.report(j, e)
		return true
	})
}

// prefill returns the prefill time in ticks, and puts the prefix into the cache,
// which drops the least recently used one.
func (m *model) prefill(e *engine, j *job) float64 {
	if j.prefix == 0 {
		return ticks(shortPrefill)
	}
	m.long++
	i := slices.Index(e.prefixes, j.prefix)
	cost := coldPrefill
	if i >= 0 {
		m.warm++
		cost = warmPrefill
		e.prefixes = slices.Delete(e.prefixes, i, i+1)
	}
	e.prefixes = append(e.prefixes, j.prefix)
	if len(e.prefixes) > cachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return ticks(cost)
}

// timeOut fails the requests that wait at a silent engine for silentTimeout, and
// retries them elsewhere.
func (m *model) timeOut(e *engine) {
	e.waiting = slices.DeleteFunc(e.waiting, func(j *job) bool {
		if m.now-j.sentAt < int(silentTimeout/tick) {
			return false
		}
		c := m.balancers[j.router]
		c.done(e.name)
		c.fail(m.time(), e.name)
		j.tried = append(j.tried, e.name)
		m.retries[m.now+1] = append(m.retries[m.now+1], j)
		return true
	})
}

func (m *model) recordTTFT(j *job) {
	if m.now >= int(warmUp/tick) {
		m.ttft = append(m.ttft, time.Duration(m.now-j.arrived)*tick)
	}
}

func (m *model) time() time.Time { return time.Unix(0, 0).Add(time.Duration(m.now) * tick) }

func ticks(d time.Duration) float64 { return float64(d) / float64(tick) }

// randomChoice is the naive policy: any target that was not tried.
type randomChoice struct{ list []Target }

func (r randomChoice) pick(_ time.Time, rnd *rand.Rand, req Request) string {
	for {
		t := r.list[rnd.IntN(len(r.list))]
		if !slices.Contains(req.Exclude, t.Name) {
			return t.Name
		}
	}
}
func (randomChoice) sent(string)                      {}
func (randomChoice) done(string)                      {}
func (randomChoice) fail(time.Time, string)           {}
func (randomChoice) report(time.Time, string, Status) {}

// pickerBalancer is the Picker under test.
type pickerBalancer struct{ *Picker }

func (p pickerBalancer) pick(now time.Time, rnd *rand.Rand, req Request) string {
	t, err := p.Pick(now, rnd, req)
	if err != nil {
		panic(err)
	}
	return t.Name
}
func (p pickerBalancer) sent(name string) { p.AttemptStarted(name) }
func (p pickerBalancer) done(name string) { p.AttemptEnded(name, Unknown) }

func (p pickerBalancer) fail(now time.Time, name string)             { p.RecordConnectFailure(now, name) }
func (p pickerBalancer) report(now time.Time, name string, s Status) { p.Report(now, name, s) }
