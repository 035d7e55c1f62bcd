package procs

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/internal/stand/instd"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/insts"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const (
	// idleServices is the number of services that the targets belong to.
	idleServices = 11
	// idleTime is how long an idle process is measured.
	idleTime = 10 * time.Second
	// benchGroup is the number of items in a record that a benchmark appends.
	benchGroup = 400
	// defaultIntervals are the default intervals, unlike the shorter testIntervals.
	defaultIntervals = "announce-every = 3s\nlist-every = 1s\n"
)

// idleSide responds to the status requests to all targets of a benchmark.
type idleSide struct {
	wire.UnimplementedSideServer
	asked atomic.Int64
}

func (s *idleSide) Status(context.Context, *wire.StatusRequest) (*wire.TargetStatus, error) {
	s.asked.Add(1)
	return &wire.TargetStatus{Side: "chc-a-e17~9f2c01d4e8aa", Running: 17, CatalogueOffset: 1}, nil
}

// BenchmarkIdleRouter measures the CPU and memory of an entry instance without requests,
// by the numbers of targets and of other entry instances on the list.
func BenchmarkIdleRouter(b *testing.B) {
	for _, n := range []struct{ routers, sides int }{{4, 6}, {40, 60}, {390, 600}} {
		b.Run(fmt.Sprintf("routers=%d/sides=%d", n.routers, n.sides), func(b *testing.B) {
			w := newBenchWorld(b)
			w.intervals = defaultIntervals
			w.list.Switches.Set(instd.Switches{TTLMS: int(time.Hour.Milliseconds())})
			side := w.listIdle(n.routers, n.sides)
			r := w.router("router-a")
			w.eventually("each target got at least two status requests", func() bool { return side.asked.Load() > int64(2*n.sides) })
			b.ResetTimer()
			for range b.N {
				before, asked := r.cpu(), side.asked.Load()
				time.Sleep(idleTime)
				b.ReportMetric(100*(r.cpu()-before).Seconds()/idleTime.Seconds(), "%core")
				b.ReportMetric(float64(side.asked.Load()-asked)/idleTime.Seconds(), "probes/s")
				b.ReportMetric(r.resident()/1e6, "resident-MB")
			}
		})
	}
}

// BenchmarkIdleSide measures the CPU and memory of a side process without requests, by
// the numbers of entry instances connected to it and of instances on the list. It gets
// no status requests while it is measured.
func BenchmarkIdleSide(b *testing.B) {
	for _, n := range []struct{ routers, sides int }{{4, 6}, {40, 60}, {390, 600}} {
		b.Run(fmt.Sprintf("routers=%d/sides=%d", n.routers, n.sides), func(b *testing.B) {
			w := newBenchWorld(b)
			w.intervals = defaultIntervals
			w.list.Switches.Set(instd.Switches{TTLMS: int(time.Hour.Milliseconds())})
			w.listIdle(n.routers, n.sides)
			_, side := w.engine("engine-0", engd.Switches{})
			for range n.routers {
				w.connectIdle(side.grpc)
			}
			b.ResetTimer()
			for range b.N {
				before := side.cpu()
				time.Sleep(idleTime)
				b.ReportMetric(100*(side.cpu()-before).Seconds()/idleTime.Seconds(), "%core")
				b.ReportMetric(side.resident()/1e6, "resident-MB")
			}
		})
	}
}

// connectIdle opens a connection to a side process and requests its status once.
func (w *world) connectIdle(addr string) {
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithKeepaliveParams(wire.Keepalive),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = cc.Close() })
	if _, err := wire.NewSideClient(cc).Status(w.t.Context(), &wire.StatusRequest{}); err != nil {
		w.t.Fatal(err)
	}
}

// listIdle announces entry instances that never serve, and targets whose status
// requests are all served by the returned server.
func (w *world) listIdle(routers, sides int) *idleSide {
	side := new(idleSide)
	server := grpc.NewServer(grpc.KeepaliveEnforcementPolicy(wire.KeepalivePolicy))
	wire.RegisterSideServer(server, side)
	w.t.Cleanup(server.Stop)
	for i := range routers + sides {
		name := fmt.Sprintf("idle-%d", i)
		inst := insts.Instance{
			Name: name, Role: insts.Router, DataCentre: "dc", Region: "region", Addr: "127.0.0.1:1",
			Incarnation: ident.NewIncarnation(name), State: insts.Live,
		}
		if i >= routers {
			inst.Role, inst.Service = insts.Side, fmt.Sprintf("model-%d", i%idleServices)
			inst.Addr = w.serveIdle(server)
		}
		if err := w.list.Announce(inst); err != nil {
			w.t.Fatal(err)
		}
	}
	return side
}

func (w *world) serveIdle(server *grpc.Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }() // ends with Stop
	return l.Addr().String()
}

// BenchmarkStart measures the time from the start of an entry instance until it accepts
// the key of the last budget, and its CPU and memory then, by the number of budgets that
// it reads from the log.
func BenchmarkStart(b *testing.B) {
	for _, budgets := range []int{1000, 10_000, 52_000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			w := newBenchWorld(b)
			w.intervals = defaultIntervals
			w.addBudgets(budgets)
			b.ResetTimer()
			for i := range b.N {
				began := time.Now()
				r := w.router(fmt.Sprintf("router-%d", i))
				w.eventually("the key of the last budget is accepted", func() bool { return r.acceptsKey(b, lastKey(budgets)) })
				b.ReportMetric(time.Since(began).Seconds(), "s-until-known")
				b.ReportMetric(r.cpu().Seconds(), "CPU-s")
				b.ReportMetric(r.resident()/1e6, "resident-MB")
				b.ReportMetric(r.peak()/1e6, "peak-MB")
			}
		})
	}
}

func lastKey(budgets int) string { return fmt.Sprintf("key-%d", budgets-1) }

// addBudgets publishes budgets with a key and a top-up each.
func (w *world) addBudgets(n int) {
	var entries, paid []fold.Item
	for i := range n {
		name := fmt.Sprintf("organisation-%d/team-%d", i%310, i)
		entries = append(entries, w.change(&catal.Budget{
			Name: name, Owner: name, Class: catal.Standard,
			KeyHashes: []catal.KeyHash{catal.HashKey(fmt.Sprintf("key-%d", i))},
		}))
		paid = append(paid, ledger.Encode(ledger.TopUp{ID: ident.NewRequestID(), Budget: name, Tokens: 1 << 30, Operator: "test"}))
	}
	for from := 0; from < n; from += benchGroup {
		w.append(ledger.Stream(0), paid[from:min(n, from+benchGroup)]...)
		w.append(ledger.CatalogueStream, entries[from:min(n, from+benchGroup)]...)
	}
}

// resident returns the resident memory of the process, in bytes, and peak its maximum
// so far.
func (p *proc) resident() float64 { return p.memory("VmRSS:") }
func (p *proc) peak() float64     { return p.memory("VmHWM:") }

func (p *proc) memory(field string) float64 {
	p.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == field {
			kB, err := strconv.Atoi(f[1])
			if err != nil {
				p.t.Fatal(err)
			}
			return float64(kB) * 1024
		}
	}
	p.t.Fatalf("/proc status of %s has no field %q in kB", p.name, field)
	return 0
}
