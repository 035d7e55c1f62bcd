package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/trial"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/pause"
	"github.com/beryllanding/beryllanding/pkg/room"
)

const (
	// roomInterval is how often the instance measures its load while it has requests, and
	// idleRoomInterval how often while it has none.
	roomInterval     = 100 * time.Millisecond
	idleRoomInterval = 500 * time.Millisecond
	// returnTime is the time that a refused request needs for its return: Retry-After, a
	// connection to another instance and the shortest response.
	returnTime = 150 * time.Millisecond
	// returnLeast and returnSpread are the least Retry-After of a request that another
	// instance can serve at once, and the range of the random delay on top.
	returnLeast  = 5 * time.Millisecond
	returnSpread = 45 * time.Millisecond
	// packetBytes is the size of the headers of a packet on the link, and packetPayload the
	// most bytes of payload in one.
	packetBytes   = 66
	packetPayload = 1448
	// holdDivisor is the part (1/n) of the time for which an event may be under way that it
	// is held back at most. The rest is for the delays of an overloaded instance.
	holdDivisor = 3
	// slowestShare is the share of the instance's goroutines whose delay counts as that of
	// its work: those that wait longest.
	slowestShare = 0.1
)

// schedLatencies is the runtime's histogram of the time for which goroutines wait, ready to
// run, for the processor.
const schedLatencies = "/sched/latencies:seconds"

// ownRoom measures the instance's load and decides which requests it refuses.
type ownRoom struct {
	// linkRate is the rate of the machine's link in bytes a second; 0 if it is not known.
	linkRate float64
	// hold is the longest time for which events of a stream are held back.
	hold   time.Duration
	logger *log.Logger
	// off are mechanisms that are switched off.
	off trial.Off

	// in and out count the bytes on the link since the last sample.
	in, out atomic.Int64
	// eventHold is how long events are held back now, in ns.
	eventHold atomic.Int64

	mu     sync.Mutex
	gate   room.Gate
	sample room.Sample
	// rotation decides whether the instance takes new connections, by what it knows of its
	// peers. share makes a change known to them.
	rotation room.Rotation
	peers    room.Peers
	share    func(out bool)
	// self and dataCentre are the instance's name and place.
	self, dataCentre string
	// link is the use of the link at the last sample, as a share of its rate.
	link float64
	// counts are the counts of the buckets of schedLatencies at the last sample.
	counts []uint64
}

// run measures the load until the context ends. busy reports whether the instance has
// requests.
func (r *ownRoom) run(ctx context.Context, busy func() bool) {
	last := time.Now()
	samples := []metrics.Sample{{Name: schedLatencies}}
	interval := idleRoomInterval
	for pause.For(ctx, interval) {
		interval = idleRoomInterval
		if busy() {
			interval = roomInterval
		}
		metrics.Read(samples)
		now := time.Now()
		s := room.Sample{At: now}
		r.mu.Lock()
		r.link = r.linkUse(now.Sub(last))
		last = now
		if samples[0].Value.Kind() == metrics.KindFloat64Histogram {
			s.Delay = r.slowest(samples[0].Value.Float64Histogram())
		}
		r.sample = s
		changed, refused, link := r.gate.Observe(s), r.gate.Refused(), r.link
		others := r.peers.Others(now, r.self, r.dataCentre)
		moved := !r.off[trial.Rotation] && r.rotation.Observe(s, link, others)
		out := r.rotation.Out()
		if !r.off[trial.EventGroups] {
			r.eventHold.Store(int64(r.gate.Hold(r.hold)))
		}
		r.mu.Unlock()
		if moved {
			r.share(out)
			r.logMove(out, s.Delay, link, others)
		}
		if changed && r.logger != nil {
			msg := "instance is overloaded; it refuses a part of its new requests"
			if refused == 0 {
				msg = "instance is no longer overloaded"
			}
			r.logger.Info(msg, "run-delay", s.Delay, "link-use", link)
		}
	}
}

// logMove logs that the instance left the rotation or returned.
func (r *ownRoom) logMove(out bool, delay time.Duration, link float64, others room.Others) {
	if r.logger == nil {
		return
	}
	msg := "instance is in the rotation again"
	if out {
		msg = "instance leaves the rotation: it is overloaded, and others take its new connections"
	}
	r.logger.Info(msg, "run-delay", delay, "link-use", link, "others-out", others.Out, "instances", others.All, "instances-here", others.Here)
}

// apply applies what other instances have shared.
func (r *ownRoom) apply(c keyed.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	exists := make(map[string]bool)
	for _, e := range c.Entries {
		if instance, ok := room.ParseKey(e.Key); ok {
			exists[instance] = e.Value != nil
			r.peers.See(now, instance, e.Value)
		}
	}
	if c.Full {
		r.peers.Retain(func(instance string) bool { return exists[instance] })
	}
}

// isOut reports whether the instance is out of the rotation.
func (r *ownRoom) isOut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rotation.Out()
}

// linkUse returns the use of the link in the busier direction since the last call, as a share
// of its rate.
func (r *ownRoom) linkUse(d time.Duration) float64 {
	bytes := max(r.in.Swap(0), r.out.Swap(0))
	if r.linkRate <= 0 || d <= 0 {
		return 0
	}
	return float64(bytes) / d.Seconds() / r.linkRate
}

// slowest returns the delay that the slowestShare of the goroutines that began to run since
// the last call exceeded. r.mu must be held.
func (r *ownRoom) slowest(h *metrics.Float64Histogram) time.Duration {
	if r.counts == nil {
		r.counts = append(r.counts, h.Counts...)
		return 0
	}
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - r.counts[i]
	}
	above, delay := uint64(0), 0.0
	for i := len(h.Counts) - 1; i >= 0; i-- {
		above += h.Counts[i] - r.counts[i]
		if float64(above) > slowestShare*float64(total) {
			delay = h.Buckets[i]
			break
		}
	}
	copy(r.counts, h.Counts)
	return time.Duration(max(0, delay) * float64(time.Second))
}

// refuses reports whether a request whose caller has this time left is refused.
func (r *ownRoom) refuses(left time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.off[trial.Refusals] && r.gate.Refuses(rand.Float64(), left, returnTime)
}

// holdEvents waits as long as events of a stream are to be held back, so that those that
// arrive meanwhile are forwarded together.
func (r *ownRoom) holdEvents() {
	if d := r.eventHold.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
}

// holds reports whether events are held back now.
func (r *ownRoom) holds() bool { return r.eventHold.Load() > 0 }

// state returns the delay of the instance's work, the use of its link, and the refused share.
func (r *ownRoom) state() (delay time.Duration, link, refused float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sample.Delay, r.link, r.gate.Refused()
}

// countedConn counts the bytes of a connection for the use of the link.
type countedConn struct {
	net.Conn
	room *ownRoom
}

// counted returns the connection with its bytes counted.
func (r *ownRoom) counted(nc net.Conn) net.Conn { return countedConn{nc, r} }

// linkBytes returns the bytes on the link for a payload.
func linkBytes(n int) int64 {
	if n <= 0 {
		return 0
	}
	return int64(n + packetBytes*(1+(n-1)/packetPayload))
}

// Read reads from the connection.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.room.in.Add(linkBytes(n))
	return n, err
}

// Write writes to the connection.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.room.out.Add(linkBytes(n))
	return n, err
}

// tcpConn returns the TCP connection behind a counted one.
func tcpConn(nc net.Conn) (*net.TCPConn, bool) {
	if c, ok := nc.(countedConn); ok {
		nc = c.Conn
	}
	tc, ok := nc.(*net.TCPConn)
	return tc, ok
}
