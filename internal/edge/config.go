package edge

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/origin"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/table"
)

// errListBehind reports a read of the target list that leaves out records, or that is from
// another epoch of the log than the list.
var errListBehind = errors.New("the target list is behind the store")

// Decoder decodes the platform's records.
type Decoder interface {
	// Table decodes a record of the configuration topic. It returns nil if the
	// record is not a configuration.
	Table(e keyed.Entry) (*table.Table, error)
	// Target decodes a record of the target topic.
	Target(e keyed.Entry) (roster.Target, error)
	// TargetID returns the id of the target that a key of the target topic names, and
	// whether the key names one.
	TargetID(key string) (id string, ok bool)
	// Evacuation returns the data centre that a record of the configuration topic
	// evacuates while the record exists, and whether the key is of such a record.
	Evacuation(key string) (dataCentre string, ok bool)
}

// applyTables applies changes of the configuration.
func (n *Node) applyTables(c keyed.Change) {
	defer n.noteLoaded()
	if c.Restored {
		n.storeRestored(n.opts.Tables.Topic, c)
		n.storedVersion = 0
	}
	for _, entry := range c.Entries {
		if _, ok := n.opts.Decoder.Evacuation(entry.Key); ok {
			continue
		}
		t, err := n.opts.Decoder.Table(entry)
		if err != nil {
			n.logger("config").Warn("configuration is invalid; keeping the previous one", "key", entry.Key, "offset", entry.Offset, "err", err)
			continue
		}
		if t != nil {
			n.storedVersion = t.Version
			n.applyTable(t)
		}
	}
	// A store that was restored from an older copy has an older configuration, or none,
	// until the operators have written the newest one again.
	view := n.engine.view.Load()
	current := view == nil || n.storedVersion >= view.Version
	if current {
		n.engine.confirm(c.RequestedAt)
	}
	n.applyEvacuations(c, current)
}

// storeRestored logs that a follower saw a restore of the store, and tells the budgets.
func (n *Node) storeRestored(topic string, c keyed.Change) {
	n.engine.Budgets.StoreRestored()
	n.logger("store").Warn("store was restored from an older copy; following it from the start", "topic", topic, "epoch", c.LogEpoch, "records", len(c.Entries))
}

// applyTable activates a configuration if it is newer than the active one.
func (n *Node) applyTable(t *table.Table) {
	old := n.engine.view.Load()
	if old != nil && t.Version <= old.Version {
		return
	}
	t.Index()
	var totals []alloc.Total
	for _, o := range t.Organisations {
		if o.Limited {
			totals = append(totals, alloc.Total{Budget: o.Name, Tokens: o.Prepaid})
		}
	}
	// Requests under the new configuration find its totals.
	n.engine.Budgets.SetTotals(t.Version, totals)
	n.engine.view.Store(t)
	n.engine.fleet.setColdLimits(t.Services)
	var from int64
	if old != nil {
		from = old.Version
	}
	n.logger("config").Info("configuration in force", "version", t.Version, "before", from,
		"routes", len(t.Routes), "services", len(t.Services), "organisations", len(t.Organisations))
}

// applyTargets applies changes of the target list.
func (n *Node) applyTargets(c keyed.Change) {
	defer n.noteLoaded()
	n.listMu.Lock()
	defer n.listMu.Unlock()
	n.engine.fleet.confirm(c.RequestedAt)
	now := time.Now()
	if c.Restored {
		n.storeRestored(n.opts.Targets.Topic, c)
		n.list.Restored(now)
	}
	ids := make(map[string]bool)
	var versions []origin.Origin
	for _, entry := range c.Entries {
		id, ok := n.opts.Decoder.TargetID(entry.Key)
		if !ok {
			continue
		}
		if entry.Value == nil {
			n.list.Remove(id, now)
			continue
		}
		t, err := n.opts.Decoder.Target(entry)
		if err != nil {
			n.logger("targets").Warn("target record is invalid; treating it as deleted", "key", entry.Key, "offset", entry.Offset, "err", err)
			n.list.Remove(id, now)
			continue
		}
		ids[id] = true
		versions = append(versions, origin.Origin{Service: t.Service, Version: t.Version})
		if t.ColdLeft < 0 || t.ColdLeft > roster.MaxCold {
			n.logger("targets").Warn("target says for an impossible time that it is cold; using the nearest possible one", "target", t.ID, "cold-left", t.ColdLeft, "most", roster.MaxCold)
		}
		t.ColdUntil = t.ColdBy(now)
		n.list.Set(t)
	}
	if c.Full {
		n.list.Retain(ids, now)
	}
	// Entries that were replaced or removed since the read before are among the changes, unless
	// the whole list had to be read.
	n.engine.origins.read(c.RequestedAt, c.Full, versions)
	n.listEnd, n.listEpoch = c.End, c.LogEpoch
	n.publishTargets(now)
}

// refreshVersions reads the target list from where it was last read, for the versions in it.
// The follower of the list reads the same records for everything else.
func (n *Node) refreshVersions(ctx context.Context) {
	n.listMu.Lock()
	end, epoch, complete := n.listEnd, n.listEpoch, n.list.Complete()
	n.listMu.Unlock()
	if !complete {
		return
	}
	at := time.Now()
	page, err := n.opts.Store.Read(ctx, n.opts.Targets, end, 0)
	if err == nil && (page.More || (page.LogEpoch != 0 && page.LogEpoch != epoch)) {
		err = errListBehind
	}
	if err != nil {
		n.logger("targets").Info("cannot read which versions serve; streams of unknown origin are refused", "err", err)
		return
	}
	var versions []origin.Origin
	for _, entry := range page.Entries {
		if _, ok := n.opts.Decoder.TargetID(entry.Key); !ok || entry.Value == nil {
			continue
		}
		if t, err := n.opts.Decoder.Target(entry); err == nil { // The follower logs invalid records.
			versions = append(versions, origin.Origin{Service: t.Service, Version: t.Version})
		}
	}
	n.engine.origins.read(at, false, versions)
}

// publishTargets updates the fleet with the current targets. It reschedules itself for
// the time at which the next target expires.
func (n *Node) publishTargets(now time.Time) {
	_, next := n.list.Expire(now)
	if !next.IsZero() && n.graceTimer == nil {
		n.graceTimer = time.AfterFunc(next.Sub(now), func() {
			n.listMu.Lock()
			defer n.listMu.Unlock()
			n.graceTimer = nil
			n.publishTargets(time.Now())
		})
	}
	added, removed, draining, gone := n.engine.fleet.update(n.list.TargetsOf(n.hasService))
	for _, t := range gone {
		n.engine.quarantine.targetEnded(t)
	}
	n.engine.origins.see(n.engine.fleet.versions())
	if added+removed+draining > 0 {
		n.logger("targets").Info("targets changed", "added", added, "removed", removed,
			"draining", draining, "in-use", n.engine.fleet.targetCount())
	}
}

// hasService reports whether a service exists by the active configuration. Without one, each
// may exist.
func (n *Node) hasService(name string) bool {
	t := n.engine.view.Load()
	return t == nil || t.HasService(name)
}

// logStoreState returns a callback for a follower's changes of state. The callback logs
// whether the store is reachable. It then calls also, if that is not nil, with lost set
// if the store is unreachable.
func (n *Node) logStoreState(topic string, also func(lost bool)) func(error) {
	return func(err error) {
		if err != nil {
			n.logger("store").Warn("store is unreachable", "topic", topic, "err", err)
		} else {
			n.logger("store").Info("store is reachable again", "topic", topic)
		}
		if also != nil {
			also(err != nil)
		}
	}
}

// setListLost records whether the target list can no longer be read.
func (n *Node) setListLost(lost bool) {
	n.listMu.Lock()
	defer n.listMu.Unlock()
	if lost {
		n.list.StoreDown()
		return
	}
	now := time.Now()
	n.list.StoreUp(now)
	n.publishTargets(now)
}

func (n *Node) logger(layer string) *log.Logger { return n.opts.Logger.WithPrefix(layer) }
