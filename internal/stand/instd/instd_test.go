package instd

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/stand/memnet"
	"github.com/beryllanding/beryllanding/pkg/insts"
)

// router returns a valid entry instance.
func router(name string) insts.Instance {
	return insts.Instance{
		Name: name, Role: insts.Router, DataCentre: "dc-a", Region: "north", Addr: "127.0.0.1:1",
		Incarnation: "x~1", State: insts.Live,
	}
}

func names(t *testing.T, l *List) []string {
	t.Helper()
	list, err := l.Instances()
	if err != nil {
		t.Fatal(err)
	}
	found := []string{}
	for _, inst := range list {
		found = append(found, inst.Name+" "+string(inst.State))
	}
	return found
}

// TestLagAndTTL guards against instances that are listed too long, or that appear, change
// or leave without the lag.
func TestLagAndTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Switches{LagMS: 3000, TTLMS: 5000})
		b := router("b")
		var seen [][]string
		for second := range 14 {
			if second < 4 {
				_ = l.Announce(router("a"))
			}
			if second == 4 {
				_ = l.Withdraw("a")
			}
			if second == 2 {
				b.State = insts.Draining
			}
			if second < 3 {
				_ = l.Announce(b)
			}
			seen = append(seen, names(t, l))
			time.Sleep(time.Second)
		}
		none := []string{}
		want := [][]string{
			none, none, none,
			{"a live", "b live"},
			{"a live", "b live"},
			{"a live", "b leaving"},
			{"a live", "b leaving"},
			{"b leaving"},
			{"b leaving"},
			{"b leaving"},
			none, none, none, none,
		}
		if diff := cmp.Diff(want, seen); diff != "" {
			t.Error(diff)
		}
	})
}

// TestClient guards against a stand-in that does not implement the protocol of package
// insts. It calls the list over loopback.
func TestClient(t *testing.T) {
	l := &List{}
	server := httptest.NewServer(l.Handler())
	defer server.Close()
	c := &insts.Client{Addr: server.URL}
	side := router("side 1")
	side.Role, side.Service, side.State = insts.Side, "stores-app", insts.Draining
	for _, inst := range []insts.Instance{side, router("r")} {
		if err := c.Announce(t.Context(), inst); err != nil {
			t.Fatal(err)
		}
	}
	list, err := c.List(t.Context())
	if diff := cmp.Diff([]insts.Instance{router("r"), side}, list); diff != "" || err != nil {
		t.Error(err, diff)
	}
	if err := c.Withdraw(t.Context(), "side 1"); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]string{"r live"}, names(t, l)); diff != "" {
		t.Error(diff)
	}
	l.Switches.Set(Switches{Outage: true})
	if list, err := c.List(t.Context()); !errors.Is(err, insts.ErrUnavailable) || list != nil {
		t.Errorf("list in an outage: got %v, error %v; want ErrUnavailable", list, err)
	}
	if err := c.Announce(t.Context(), side); !errors.Is(err, insts.ErrUnavailable) {
		t.Errorf("announcement in an outage: got error %v, want ErrUnavailable", err)
	}
	l.Switches.Set(Switches{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.Withdraw(ctx, "r"); !errors.Is(err, insts.ErrUnavailable) {
		t.Errorf("cancelled call: got error %v, want ErrUnavailable", err)
	}
}

// TestSilentConnections guards against a client that keeps using dead connections. All
// open connections go silent. The first call fails, and the next one must use a new
// connection.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		server := &http.Server{Handler: (&List{}).Handler()}
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(network) })
		c := &insts.Client{Addr: "list:1", HTTP: &http.Client{Transport: &http.Transport{DialContext: network.Dial}}}
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() {
				if err := c.Announce(t.Context(), router("a")); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		network.Blackhole()
		if _, err := c.List(t.Context()); !errors.Is(err, insts.ErrUnavailable) {
			t.Errorf("got error %v, want ErrUnavailable", err)
		}
		if list, err := c.List(t.Context()); err != nil || len(list) != 1 {
			t.Errorf("on a new connection: got %v, error %v; want one instance", list, err)
		}
		_ = server.Close()
		wg.Wait()
	})
}
