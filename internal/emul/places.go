package emul

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/keyed"
)

// Bound of the requests at a cold target in a second: coldExcess times what it tolerates,
// plus coldSpare.
const (
	coldExcess = 1.5
	coldSpare  = 5
)

// dataCentre returns the data centre of the instance or target with an index.
func (s *Scenario) dataCentre(index int) string {
	return fmt.Sprintf("data-centre-%d", index%max(1, s.DataCentres))
}

// places collects what the audit needs to know of cold targets and evacuated data centres.
type places struct {
	mu sync.Mutex
	// evacuated holds when each data centre was evacuated.
	evacuated map[string]time.Time
	// misplaced counts the requests at targets of evacuated data centres, from instances
	// that reach the store, later than Scenario.Settle.
	misplaced int
	// arrivals holds the requests at each run of a target while it was cold.
	arrivals map[string][]time.Time
}

// accepted records that a target has taken a request of an instance. warm is when the target
// is warm.
func (p *places) accepted(run, dataCentre string, warm time.Time, from *instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if since, ok := p.evacuated[dataCentre]; ok && from != nil && from.inTouch() && now.Sub(since) > from.f.s.Settle {
		p.misplaced++
	}
	if now.Before(warm) {
		if p.arrivals == nil {
			p.arrivals = make(map[string][]time.Time)
		}
		p.arrivals[run] = append(p.arrivals[run], now)
	}
}

// broken describes what was not kept: the bound of cold targets, and evacuations.
func (p *places) broken(rate float64) (list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.misplaced > 0 {
		list = append(list, fmt.Sprintf("%d requests reached targets of evacuated data centres", p.misplaced))
	}
	allowed := rate*coldExcess + coldSpare
	for run, at := range p.arrivals {
		first, most := 0, 0
		for i := range at {
			for at[first].Before(at[i].Add(-time.Second)) {
				first++
			}
			most = max(most, i-first+1)
		}
		if rate > 0 && float64(most) > allowed {
			list = append(list, fmt.Sprintf("cold target %s got %d requests in a second; allowed are %v", run, most, allowed))
		}
	}
	return list
}

// evacuate begins or ends the evacuation of a data centre.
func (f *fleet) evacuate(dataCentre string, on bool) {
	f.places.mu.Lock()
	defer f.places.mu.Unlock()
	e := keyed.Entry{Key: keyd.EvacuationPrefix + dataCentre}
	if on {
		e.Value = []byte("{}")
		f.places.evacuated[dataCentre] = time.Now()
	} else {
		delete(f.places.evacuated, dataCentre)
	}
	f.store.Put(keyed.Partition{Topic: "tables"}, e)
}

// returnCold ends the targets of a data centre together, or starts them again together.
func (f *fleet) returnCold(dataCentre string, on bool) {
	for _, r := range f.targets {
		if f.s.dataCentre(r.index) != dataCentre {
			continue
		}
		if on {
			r.end()
		} else if err := r.startAgain(); err != nil {
			f.logger.Error("target did not start again", "target", r.index, "err", err)
		}
	}
}

// end ends the present run of the target, which closes all its connections.
func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		_ = r.server.Close() // It only fails for connections that are closed already.
		r.server = nil
	}
}

// startAgain begins the next run of a target that has ended, at its address. Its entry
// replaces that of the run before.
func (r *replica) startAgain() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.f.store.Put(keyed.Partition{Topic: "targets"}, keyed.Entry{Key: r.engine().ID})
	return r.start(l)
}
