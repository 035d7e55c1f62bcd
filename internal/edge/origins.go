package edge

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/meter"
	"github.com/beryllanding/beryllanding/internal/peers"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/origin"
	"github.com/beryllanding/beryllanding/pkg/pause"
)

const (
	// toldKeepers is the number of instances that are told where a stream began.
	toldKeepers = 2
	// askedKeepers is the number of instances that are asked at the same time. One of the
	// first may be the instance that forwarded the stream, which tells others in its place.
	askedKeepers = toldKeepers + 1
	// askRounds bounds how often further instances are asked while none has answered.
	askRounds = 3
	// tellInterval is the time in which origins are collected before they are told.
	tellInterval = 100 * time.Millisecond
	// tellTimeout and askTimeout bound a call to a peer.
	tellTimeout = 300 * time.Millisecond
	askTimeout  = 150 * time.Millisecond
	// refreshTimeout bounds a read of what has changed in the target list. A peer that asks
	// gets its answer within askTimeout.
	refreshTimeout     = 400 * time.Millisecond
	peerRefreshTimeout = 100 * time.Millisecond
	// maxPending bounds the origins that wait to be told to one peer.
	maxPending = 4096
	// maxTellTries bounds the peers that are tried for each telling of an origin.
	maxTellTries = 3
)

var (
	// errUnknownOrigin reports a stream of which nobody knows at which version it began.
	errUnknownOrigin = errors.New("it is not known which version began the stream")
	// errNoPeer reports a peer to which no connection can be set up.
	errNoPeer = errors.New("no connection to the peer can be set up")
)

// origins knows at which software version streams began. The zero value knows what it is
// told. It is safe for concurrent use.
type origins struct {
	// dial returns the client of a peer by its address, or nil. It may be nil.
	dial func(addr string) wire.PeerClient
	// refresh reads what has changed in the target list, and calls read if it could. It may be
	// nil.
	refresh func(context.Context)
	meter   *meter.Meter
	silence peers.Silence

	mu       sync.Mutex
	memory   origin.Memory
	versions origin.Versions
	// peers are the addresses of the other instances, by name, and names their names.
	peers map[string]string
	names []string
	// pending are the origins to be told, by address.
	pending map[string][]toldOrigin
	wake    chan struct{}
	// refreshing is the call of refresh in progress, or nil.
	refreshing *refreshCall
}

// refreshCall is a call of origins.refresh. done is closed when it has ended.
type refreshCall struct {
	began time.Time
	done  chan struct{}
}

// toldOrigin is an origin to be told to a peer. tries is the number of peers that did not take
// it.
type toldOrigin struct {
	id string
	origin.Origin
	tries int
}

// setPeers sets the addresses of the other instances.
func (o *origins) setPeers(addresses map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peers, o.names = addresses, slices.Sorted(maps.Keys(addresses))
}

// see records the versions of the listed targets.
func (o *origins) see(listed []origin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tellMixed(o.versions.See(time.Now(), listed))
}

// read records a read of the target list; see origin.Versions.Read.
func (o *origins) read(requested time.Time, gap bool, read []origin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tellMixed(o.versions.Read(time.Now(), requested, gap, read))
}

// tellMixed tells others of the streams of services that have several versions now and had one
// before. o.mu must be held.
func (o *origins) tellMixed(services []string) {
	for _, service := range services {
		for id, known := range o.memory.Of(service) {
			o.enqueue(toldOrigin{id: id, Origin: known})
		}
	}
}

// note records where a stream began. Unless its service has one version only, others are
// told.
func (o *origins) note(id string, at origin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if !o.memory.Note(now, id, at) {
		return
	}
	if _, single := o.versions.Single(now, at.Service); !single {
		o.enqueue(toldOrigin{id: id, Origin: at})
	}
}

// keep records origins that another instance tells.
func (o *origins) keep(told []*wire.StreamOrigin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, s := range told {
		o.memory.Note(now, s.GetId(), origin.Origin{Service: s.GetService(), Version: s.GetVersion()})
	}
}

// find returns where a stream of a service began, as far as this instance knows: it has
// forwarded the stream or was told of it, or only one version can have begun it. It reads the
// target list if that may prove the latter. An empty id stands for any stream.
func (o *origins) find(ctx context.Context, id, service string) (at origin.Origin, ok bool) {
	now := time.Now() // The stream has begun before.
	o.mu.Lock()
	at, ok = o.memory.Find(now, id)
	provable := o.versions.MayBeProven(now, service)
	o.mu.Unlock()
	if ok || !provable {
		return at, ok
	}
	o.refreshSince(ctx, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	version, ok := o.versions.Proven(time.Now(), service, now)
	return origin.Origin{Service: service, Version: version}, ok
}

// refreshSince waits for the end of a call of refresh that began at a moment or later, or until
// the context ends. Requests that wait at the same time share the call.
func (o *origins) refreshSince(ctx context.Context, since time.Time) {
	if o.refresh == nil {
		return
	}
	for {
		o.mu.Lock()
		call := o.refreshing
		if call == nil {
			call = &refreshCall{began: time.Now(), done: make(chan struct{})}
			o.refreshing = call
			go o.runRefresh(call)
		}
		o.mu.Unlock()
		select {
		case <-call.done:
		case <-ctx.Done():
			return
		}
		if !call.began.Before(since) {
			return
		}
	}
}

// runRefresh makes a call of refresh.
func (o *origins) runRefresh(call *refreshCall) {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	o.refresh(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refreshing = nil
	close(call.done)
}

// keepers returns the addresses of the instances that keep the origin of a stream, without
// those that did not answer lately. o.mu must be held.
func (o *origins) keepers(id string) []string {
	var addresses []string
	now := time.Now()
	for _, name := range origin.Keepers(id, o.names) {
		if addr := o.peers[name]; o.silence.MayAnswer(addr, now) {
			addresses = append(addresses, addr)
		}
	}
	return addresses
}

// enqueue queues an origin for the keepers of its stream. o.mu must be held.
func (o *origins) enqueue(t toldOrigin) {
	keepers := o.keepers(t.id)
	if t.tries == 0 {
		keepers = keepers[:min(toldKeepers, len(keepers))]
	} else {
		// The first ones were told or are silent; the next one takes the place of one.
		keepers = keepers[min(toldKeepers-1, len(keepers)):min(toldKeepers, len(keepers))]
	}
	if o.pending == nil {
		o.pending = make(map[string][]toldOrigin)
	}
	for _, addr := range keepers {
		if len(o.pending[addr]) < maxPending {
			o.pending[addr] = append(o.pending[addr], t)
		}
	}
	select {
	case o.wakeChan() <- struct{}{}:
	default:
	}
}

// wakeChan returns the channel wake. o.mu must be held.
func (o *origins) wakeChan() chan struct{} {
	if o.wake == nil {
		o.wake = make(chan struct{}, 1)
	}
	return o.wake
}

// run tells other instances of origins until the context ends.
func (o *origins) run(ctx context.Context) {
	o.mu.Lock()
	wake := o.wakeChan()
	o.mu.Unlock()
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, tellInterval) {
			return
		}
		o.mu.Lock()
		pending := o.pending
		o.pending = nil
		o.mu.Unlock()
		for addr, told := range pending {
			go o.tell(ctx, addr, told)
		}
	}
}

// tell tells a peer of origins. If it does not answer, the next keeper of each is told.
func (o *origins) tell(ctx context.Context, addr string, told []toldOrigin) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	req := &wire.RememberRequest{}
	for _, t := range told {
		req.Origins = append(req.Origins, &wire.StreamOrigin{Id: t.id, Service: t.Service, Version: t.Version})
	}
	client, err := o.client(addr)
	if err == nil {
		_, err = client.Remember(ctx, req)
	}
	o.meter.OriginsTold(len(told), err == nil)
	if err == nil {
		return
	}
	o.silence.Note(addr, time.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range told {
		if t.tries++; t.tries < maxTellTries {
			o.enqueue(t)
		}
	}
}

// client returns the client of a peer. The error is errNoPeer.
func (o *origins) client(addr string) (wire.PeerClient, error) {
	if o.dial != nil {
		if client := o.dial(addr); client != nil {
			return client, nil
		}
	}
	return nil, errNoPeer
}

// ask returns where a stream of a service began, from this instance or from those that keep
// it.
func (o *origins) ask(ctx context.Context, id, service string) (at origin.Origin, ok bool) {
	if at, ok = o.find(ctx, id, service); ok {
		o.meter.OriginAsked(service, "here")
		return at, true
	}
	o.mu.Lock()
	keepers := o.keepers(id)
	o.mu.Unlock()
	answered := 0
	for round := 0; round < askRounds && answered < askedKeepers && len(keepers) > 0 && ctx.Err() == nil; round++ {
		n := min(askedKeepers-answered, len(keepers))
		found, answers := o.askAll(ctx, keepers[:n], id, service)
		if found != nil {
			o.meter.OriginAsked(service, "peer")
			return *found, true
		}
		answered += answers
		keepers = keepers[n:]
	}
	o.meter.OriginAsked(service, "unknown")
	return origin.Origin{}, false
}

// askAll asks peers at the same time. It returns the first origin found, or nil once all have
// answered or failed, and the number of those that answered.
func (o *origins) askAll(ctx context.Context, addresses []string, id, service string) (found *origin.Origin, answered int) {
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type answer struct {
		addr  string
		reply *wire.FindOriginReply
		err   error
	}
	answers := make(chan answer, len(addresses))
	for _, addr := range addresses {
		go func() {
			client, err := o.client(addr)
			a := answer{addr: addr, err: err}
			if err == nil {
				a.reply, a.err = client.FindOrigin(asking, &wire.FindOriginRequest{Id: id, Service: service})
			}
			answers <- a
		}()
	}
	for range addresses {
		a := <-answers
		if a.err != nil {
			if ctx.Err() == nil { // Else the caller has left, and the peer had no time.
				o.silence.Note(a.addr, time.Now())
			}
			continue
		}
		answered++
		if s := a.reply.GetOrigin(); s != nil {
			return &origin.Origin{Service: s.GetService(), Version: s.GetVersion()}, answered
		}
	}
	return nil, answered
}
