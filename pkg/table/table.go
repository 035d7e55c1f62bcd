// Package table holds one version of the operators' configuration: which routes
// lead to which services, and which keys belong to which organisation.
package table

import (
	"bytes"
	"slices"
	"strings"
	"time"
)

// Repeat states whether the work of a request may run more than once.
type Repeat int

// The values of Repeat.
const (
	// Once means that the work may run at most once.
	Once Repeat = iota
	// Idempotent means that the work may run more than once.
	Idempotent
)

// Route maps requests to services by host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Stream is set if the response is a stream of events.
	Stream bool
	// Resumable is set if a stream may continue at another target after the last
	// complete event.
	Resumable bool
	// Timeout is the longest time that a caller waits; 0 means no limit.
	Timeout time.Duration
	// Goal is the promised time to the response or, for a stream, to the first
	// event.
	Goal time.Duration
	// MaxTargets limits the number of targets that one request is sent to.
	MaxTargets int
	// Priority is the rank of the requests; smaller numbers go first.
	Priority int
	// Public is set if requests need no key.
	Public bool
	// Shares are the services with their weights. There is at least one.
	Shares []Share
}

// MayRepeat reports whether a request on the route may be sent again after its work may
// have begun. The result is true for idempotent routes and for resumable streams.
func (r *Route) MayRepeat() bool { return r.Repeat == Idempotent || (r.Stream && r.Resumable) }

// LeadsTo reports whether the route sends requests to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// Share is a service's share of the requests on a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// EventTokens is the number of tokens in an event of its streams; 0 means 1.
	EventTokens int64
	// ColdTime is how long a target is cold after its start. ColdRate is the number of
	// requests a second that a cold target tolerates from all instances together; 0 means
	// that cold targets need no care.
	ColdTime time.Duration
	ColdRate float64
}

// Organisation owns keys and a prepaid budget.
type Organisation struct {
	Name string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid is the total number of tokens paid for. It applies if Limited is set.
	Prepaid int64
	Limited bool
}

// Limits bound the size of a request and the time that a caller may take to send
// it.
type Limits struct {
	HeadBytes   int
	BodyBytes   int64
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// Table is one version of the configuration. It is not modified after the call of
// Index.
type Table struct {
	Version  int64
	Routes   []*Route
	Services map[string]Service
	// Keys maps each key to its organisation.
	Keys          map[string]*Organisation
	Organisations []*Organisation
	// NeedsKey is set if the configuration has organisations: requests on routes
	// that are not public then need a key.
	NeedsKey bool
	Limits   Limits

	// hosts holds the routes by host in lower case, longest prefix first.
	hosts map[string][]*Route
}

// Index builds the index that Match uses. Call it once, before Match.
func (t *Table) Index() {
	t.hosts = make(map[string][]*Route)
	for _, r := range t.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// HasService reports whether the configuration has a service, or a route that leads to it.
func (t *Table) HasService(name string) bool {
	if _, ok := t.Services[name]; ok {
		return true
	}
	return slices.ContainsFunc(t.Routes, func(r *Route) bool { return r.LeadsTo(name) })
}

// Match returns the route with the longest prefix that matches the host and path,
// or nil. The query of the path, the port of the host and the case of the host do
// not matter.
func (t *Table) Match(host, path []byte) *Route {
	path, _, _ = bytes.Cut(path, []byte("?"))
	routes, ok := t.hosts[string(host)]
	if !ok {
		name, _, _ := strings.Cut(strings.ToLower(string(host)), ":")
		routes = t.hosts[name]
	}
	for _, r := range routes {
		if len(path) >= len(r.Prefix) && string(path[:len(r.Prefix)]) == r.Prefix {
			return r
		}
	}
	return nil
}

// Choose returns the service for a request on the route, with probabilities in
// proportion to the weights. u is a uniform random number in [0, 1).
func (r *Route) Choose(u float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	u *= total
	for _, s := range r.Shares {
		if u < s.Weight {
			return s.Service
		}
		u -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
