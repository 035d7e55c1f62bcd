// Package emul emulates a small fleet: entry instances that call their targets
// directly, stand-ins for the store and for model replicas, and callers, all in one
// process over loopback. It reports the outcomes of the requests, and checks that no
// organisation overspent and that no request ran twice unless it is repeatable.
//
// scenario.go reads a scenario, fleet.go starts the fleet, load.go sends the requests
// and report.go counts the outcomes.
package emul

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/internal/stand/modeld"
)

// ErrScenario is wrapped by the error that Parse returns for a faulty scenario file.
var ErrScenario = errors.New("scenario file is invalid")

// Scenario describes a fleet, its load and its faults.
type Scenario struct {
	// Seed determines the requests and when they are sent. Latencies still vary from
	// run to run.
	Seed uint64
	// Length is how long callers send requests.
	Length time.Duration
	// Instances is the number of entry instances.
	Instances int
	// Targets is the number of model replicas.
	Targets int
	// Slots is the number of requests that a replica runs at a time.
	Slots int
	// Queue is the number of requests that may wait at a replica.
	Queue int
	// PromptRate is the speed at which a replica reads prompts, in tokens per second.
	PromptRate float64
	// Step is the time between two events of a response.
	Step time.Duration
	// EventTokens is the number of tokens in an event.
	EventTokens int64
	// Versions is the number of software versions among the replicas. What two of them write
	// doesn't fit together.
	Versions int
	// DataCentres is the number of data centres among which instances and targets are spread.
	DataCentres int
	// ColdTime is how long a target is cold after it starts during the scenario. ColdRate is
	// the number of requests a second that it tolerates then; 0 stands for any.
	ColdTime time.Duration
	ColdRate float64
	// Restart is the time after which a target that crashed is back, under a new id.
	Restart time.Duration
	// Dark means that a target that crashes keeps its connections open and says nothing more.
	// Its entry disappears after Restart, and the next run has another address.
	Dark bool
	// Settle is the time after the fifth crash by one part of prompts, or the third by one
	// request, from which the instances must have stopped sending it to targets; see
	// Kind.Crashes and Kind.Deadly.
	Settle time.Duration

	Kinds         []Kind
	Organisations []Organisation
	Faults        []Fault
}

// Kind is a kind of request.
type Kind struct {
	Name string
	// Rate is in requests per second, over all instances.
	Rate float64
	// Prompt and Output are mean sizes, in tokens. Shared is the number of prompt
	// tokens that requests with the same prefix have in common, and Prefixes the
	// number of different prefixes.
	Prompt, Output, Shared int64
	Prefixes               int
	// Goal is the longest time to the first event of a response in time, and Deadline
	// the longest time that a caller waits for the whole response.
	Goal, Deadline time.Duration
	// Credit is the credit for a response within Goal, LateCredit that for a later one.
	Credit, LateCredit float64
	// Repeatable requests may run more than once, and may be resumed at another
	// target.
	Repeatable bool
	// Targets is the maximum number of targets that a request is sent to.
	Targets int
	// Retries is how often a caller retries a refused request.
	Retries int
	// TakeUps is how often a caller takes up a stream that broke off, at any instance.
	TakeUps int
	// Plain requests have no prompt. The response to one is a single body.
	Plain bool
	// Crashes means that the prompts have a part in common that crashes each target that
	// begins to answer. Their other part is one of those of the first kind.
	Crashes bool
	// Deadly, if it is not 0, is the number of different requests of the kind. Each crashes
	// every target that runs it, and is sent again and again, by one organisation, to any
	// instance.
	Deadly int
	// CrashEvents is the number of events after which a crashing request ends its target.
	CrashEvents int
}

// Organisation is an organisation with a prepaid budget.
type Organisation struct {
	Name string
	// Tokens is the prepaid budget. Share is its weight among the organisations when
	// requests are drawn.
	Tokens int64
	Share  float64
}

// Fault is a fault of the store, of some targets or of some instances for a limited time.
type Fault struct {
	// At is the start of the fault, from the start of the scenario, and For its
	// duration.
	At, For time.Duration
	// Store holds the switches to set at the store. If it is nil, Target holds those
	// to set at the first Count targets.
	Store  *keyd.Switches
	Target *modeld.Switches
	// Cut partitions the first Count instances from the store. Stop stops them, and starts
	// them again at the end of the fault. With either, Store and Target are nil.
	Cut, Stop bool
	Count     int
	// Evacuate evacuates the data centre DataCentre. ReturnCold ends its targets, and starts
	// them again, cold, at the end of the fault. With either, the fields above are not set.
	Evacuate, ReturnCold bool
	DataCentre           int
	// Copy, if it is not 0, is the age of the copy that the store comes back from at the
	// end of the fault.
	Copy time.Duration
}

// Limits of a scenario, as it runs in one process. Rates are in requests per second.
const (
	maxInstances     = 128
	maxTargets       = 128
	maxRate          = 2000
	maxLength        = 10 * time.Minute
	maxKinds         = 64
	maxOrganisations = 1024
	maxTokens        = 1 << 30
	maxPrefixes      = 1 << 20
	maxAttempts      = 8
	maxDeadly        = 1024
)

// Strength of the faults. Those of the store are within the range seen on the users'
// platform.
const (
	slowStore     = 250 * time.Millisecond // duration of each call
	lostResponses = 0.3                    // share of writes whose response is lost
	lateEffect    = time.Second            // delay of a write whose response was lost
	breakEvents   = 2                      // events before a stream is cut off
	slowMultiple  = 5                      // factor on a target's latencies
	rewriteDelay  = time.Second            // time until operators and targets write again after a restore
	restWish      = 2 * time.Second        // rest that a target asks for
	defaultLimit  = 1                      // limit that a target names, in requests per second
)

// Defaults of a fleet whose targets crash.
const (
	defaultRestart = 2 * time.Second
	defaultSettle  = 3 * time.Second
)

// defaultCopy is the age of the copy from which a store is restored.
const defaultCopy = 3 * time.Second

// Parse parses a scenario file. The error lists all its faults and wraps ErrScenario.
func Parse(data []byte) (Scenario, error) {
	file, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return Scenario{}, errors.Join(ErrScenario, err)
	}
	p := &parser{}
	s := Scenario{}
	for _, sec := range file.Sections() {
		what, name, _ := strings.Cut(sec.Name(), " ")
		p.section(sec)
		switch what {
		case ini.DefaultSection:
			if len(sec.Keys()) > 0 {
				p.faults = append(p.faults, errors.New("keys before the first section"))
			}
			continue
		case "fleet":
			s.Seed = uint64(p.whole("seed", 1))
			s.Length = p.duration("length", 0)
			s.Instances = int(p.whole("instances", 1))
			s.Targets = int(p.whole("targets", 1))
			s.Slots = int(p.whole("slots", 16))
			s.Queue = int(p.whole("queue", 32))
			s.PromptRate = p.number("prompt-rate", 20_000)
			s.Step = p.duration("step", 20*time.Millisecond)
			s.EventTokens = p.whole("event-tokens", 1)
			s.Restart = p.duration("restart", defaultRestart)
			s.Settle = p.duration("settle", defaultSettle)
			s.Dark = p.whole("dark", 0) != 0
			s.Versions = int(p.whole("versions", 1))
			s.DataCentres = int(p.whole("data-centres", 1))
			s.ColdTime = p.duration("cold-time", 0)
			s.ColdRate = p.number("cold-rate", 0)
		case "kind":
			s.Kinds = append(s.Kinds, Kind{
				Name: name, Rate: p.number("rate", 0), Prompt: p.whole("prompt", 100), Output: p.whole("output", 20),
				Shared: p.whole("shared", 0), Prefixes: int(p.whole("prefixes", 1)),
				Goal: p.duration("aim", time.Second), Deadline: p.duration("deadline", 10*time.Second),
				Credit: p.number("worth", 1), LateCredit: p.number("late-worth", 0.1),
				Repeatable: p.whole("repeatable", 0) != 0, Targets: int(p.whole("targets", 1)), Retries: int(p.whole("returns", 0)), TakeUps: int(p.whole("take-ups", 0)),
				Plain: p.whole("plain", 0) != 0, Crashes: p.whole("crashes", 0) != 0,
				Deadly: int(p.whole("deadly", 0)), CrashEvents: int(p.whole("crash-events", 0)),
			})
		case "organisation":
			s.Organisations = append(s.Organisations, Organisation{Name: name, Tokens: p.whole("tokens", 0), Share: p.number("share", 1)})
		case "trouble":
			s.Faults = append(s.Faults, p.parseFault())
		default:
			p.fault("unknown section")
		}
		p.unknown()
	}
	p.sec = ""
	p.check(s)
	if len(p.faults) > 0 {
		return Scenario{}, errors.Join(append([]error{ErrScenario}, p.faults...)...)
	}
	return s, nil
}

func (p *parser) parseFault() Fault {
	t := Fault{At: p.duration("at", 0), For: p.duration("for", time.Second), Count: int(p.whole("count", 1))}
	switch what := p.text("what"); what {
	case "store-down":
		t.Store = &keyd.Switches{Down: true}
	case "store-restored":
		t.Store, t.Copy = &keyd.Switches{Down: true}, p.duration("copy", defaultCopy)
	case "store-slow":
		t.Store = &keyd.Switches{Delay: slowStore}
	case "store-forgetful":
		t.Store = &keyd.Switches{Lost: lostResponses, Late: lateEffect}
	case "silent":
		t.Target = &modeld.Switches{Silent: true}
	case "reject":
		t.Target = &modeld.Switches{Reject: true}
	case "fault":
		t.Target = &modeld.Switches{Fault: true}
	case "break":
		t.Target = &modeld.Switches{Break: breakEvents}
	case "foreign":
		t.Target = &modeld.Switches{Foreign: true}
	case "leave":
		t.Target = &modeld.Switches{Leaving: true}
	case "rest":
		t.Target = &modeld.Switches{Rest: restWish}
	case "limit":
		t.Target = &modeld.Switches{Limit: p.number("limit", defaultLimit)}
	case "slow":
		t.Target = &modeld.Switches{Slow: slowMultiple}
	case "instance-cut":
		t.Cut = true
	case "instance-stop":
		t.Stop = true
	case "evacuate":
		t.Evacuate, t.DataCentre = true, int(p.whole("data-centre", 0))
	case "return-cold":
		t.ReturnCold, t.DataCentre = true, int(p.whole("data-centre", 0))
	default:
		p.fault(fmt.Sprintf("what = %q: expected store-down, store-restored, store-slow, store-forgetful, silent, reject, fault, break, foreign, leave, rest, limit, slow, instance-cut, instance-stop, evacuate or return-cold", what))
	}
	return t
}

// check records a fault for each value that is out of range.
func (p *parser) check(s Scenario) {
	between := func(what string, v, least, most int64) {
		if v < least || v > most {
			p.faults = append(p.faults, fmt.Errorf("%s is %d: expected %d to %d", what, v, least, most))
		}
	}
	between("[fleet] instances", int64(s.Instances), 1, maxInstances)
	between("[fleet] targets", int64(s.Targets), 1, maxTargets)
	between("[fleet] versions", int64(s.Versions), 1, maxTargets)
	between("[fleet] data-centres", int64(s.DataCentres), 1, maxTargets)
	between("[fleet] cold-rate", int64(s.ColdRate), 0, maxRate)
	between("[fleet] cold-time in ms", s.ColdTime.Milliseconds(), 0, maxLength.Milliseconds())
	between("[fleet] length in ms", s.Length.Milliseconds(), 1, maxLength.Milliseconds())
	between("[fleet] event-tokens", s.EventTokens, 1, maxTokens)
	between("[fleet] prompt-rate", int64(s.PromptRate), 1, maxTokens)
	between("number of kinds", int64(len(s.Kinds)), 1, maxKinds)
	between("number of organisations", int64(len(s.Organisations)), 1, maxOrganisations)
	rate, share := 0.0, 0.0
	for _, k := range s.Kinds {
		rate += k.Rate
		between(fmt.Sprintf("[kind %s] prompt", k.Name), k.Prompt, 1, maxTokens)
		between(fmt.Sprintf("[kind %s] output", k.Name), k.Output, 1, maxTokens)
		between(fmt.Sprintf("[kind %s] shared", k.Name), k.Shared, 0, k.Prompt)
		between(fmt.Sprintf("[kind %s] prefixes", k.Name), int64(k.Prefixes), 1, maxPrefixes)
		between(fmt.Sprintf("[kind %s] targets", k.Name), int64(k.Targets), 1, maxAttempts)
		between(fmt.Sprintf("[kind %s] deadly", k.Name), int64(k.Deadly), 0, maxDeadly)
		between(fmt.Sprintf("[kind %s] crash-events", k.Name), int64(k.CrashEvents), 0, maxTokens)
	}
	for _, o := range s.Organisations {
		share += o.Share
	}
	between("sum of the rates", int64(rate*1000), 1, maxRate*1000)
	if share <= 0 {
		p.faults = append(p.faults, errors.New("no organisation has a share"))
	}
}

// parser reads the keys of one section at a time and collects all faults of a file.
type parser struct {
	sec    string
	keys   map[string]string
	faults []error
}

func (p *parser) section(s *ini.Section) { p.sec, p.keys = s.Name(), s.KeysHash() }

func (p *parser) fault(text string) {
	p.faults = append(p.faults, fmt.Errorf("[%s] %s", p.sec, text))
}

// text returns the value of a key of the section and removes the key. A missing key
// and an empty value both give "".
func (p *parser) text(key string) string {
	v := p.keys[key]
	delete(p.keys, key)
	return v
}

// unknown records a fault for each key that was not read.
func (p *parser) unknown() {
	for key := range p.keys {
		p.fault(fmt.Sprintf("unknown key %q", key))
	}
}

func (p *parser) whole(key string, otherwise int64) int64 {
	return parsed(p, key, otherwise, "a whole number", func(v string) (int64, error) { return strconv.ParseInt(v, 10, 64) })
}

func (p *parser) number(key string, otherwise float64) float64 {
	return parsed(p, key, otherwise, "a number", func(v string) (float64, error) { return strconv.ParseFloat(v, 64) })
}

func (p *parser) duration(key string, otherwise time.Duration) time.Duration {
	return parsed(p, key, otherwise, "a duration such as 500ms", time.ParseDuration)
}

// parsed returns the parsed value of a key. If the key is missing or its value is
// malformed, it returns the given default. A malformed value is recorded as a fault.
func parsed[T any](p *parser, key string, otherwise T, expected string, parse func(string) (T, error)) T {
	text := p.text(key)
	if text == "" {
		return otherwise
	}
	v, err := parse(text)
	if err != nil {
		p.fault(fmt.Sprintf("%s = %q: expected %s", key, text, expected))
		return otherwise
	}
	return v
}
