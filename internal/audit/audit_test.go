package audit_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/alloc"
	"github.com/beryllanding/beryllanding/internal/audit"
	"github.com/beryllanding/beryllanding/internal/stand/keyd"
	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/limit"
	"github.com/beryllanding/beryllanding/pkg/poison"
)

// TestBudgets reads the accounts that two instances have written, and checks that
// all paid tokens are free, held in leases or spent.
func TestBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
		for _, name := range []string{"a", "b"} {
			s := alloc.New(alloc.Options{
				Store: store, Topic: "b", Partitions: 3, Pledges: "p", PledgePartitions: 2, Instance: name,
				Policy: alloc.Policy, Machine: "m-" + name, Clock: clock,
			})
			go s.Run(ctx)
			s.SetTotals(4, []alloc.Total{{Budget: "desk", Tokens: 200_000}, {Budget: "yard", Tokens: 9000}})
			time.Sleep(time.Second)
			reservation, err := s.Reserve(t.Context(), "desk", 5000)
			if err != nil {
				t.Fatal(err)
			}
			s.Settle(reservation, 3000)
			time.Sleep(3 * time.Second) // Time to pledge the use.
		}
		topics := audit.Topics{Accounts: "b", AccountPartitions: 3, Pledges: "p", PledgePartitions: 2}
		totals := map[string]acct.Total{"desk": {Version: 3, Tokens: 100_000}, "yard": {Version: 4, Tokens: 9000}}
		list, err := audit.Budgets(t.Context(), store, topics, totals, "")
		if err != nil || len(list) != 2 || list[0].Name != "desk" || list[1].Name != "yard" {
			t.Fatalf("budgets are %+v, error %v; want desk and yard", list, err)
		}
		desk := list[0]
		var held, pledged ledger.Tokens
		for _, s := range desk.Leases {
			held += s.Held
			pledged += s.Pledged
			if s.Machine == "" || s.PledgeClock == 0 {
				t.Errorf("got lease %+v, want one with a machine and a pledge clock", s)
			}
		}
		if desk.Paid != 200_000 || desk.Version != 4 || desk.Free+held+desk.Spent != desk.Paid || len(desk.Leases) != 2 || pledged != 6000 {
			t.Errorf("got budget %+v with %d held and %d pledged; want version 4, 200000 paid = free + held + spent, 2 leases and 6000 pledged", desk, held, pledged)
		}
		if yard := list[1]; yard.Paid != 9000 || yard.Free != 9000 || yard.Version != 4 {
			t.Errorf("budget is %+v, want 9000 paid by version 4 and all of it free", yard)
		}
		one, err := audit.Budgets(t.Context(), store, topics, totals, "yard")
		if diff := cmp.Diff(list[1:], one); err != nil || diff != "" {
			t.Errorf("budget yard alone: error %v (-want +got):\n%s", err, diff)
		}
		if _, err := audit.Budgets(t.Context(), store, topics, totals, "none"); !errors.Is(err, audit.ErrNotFound) {
			t.Errorf("unknown budget: error is %v, want ErrNotFound", err)
		}
		put(t, store, "b", "broken", "{")
		if _, err := audit.Budgets(t.Context(), store, topics, totals, ""); !errors.Is(err, acct.ErrRecord) {
			t.Errorf("malformed account: error is %v, want ErrRecord", err)
		}
		cancel()
	})
}

// TestBudgetsAfterRestore reads the accounts after the store came back from an older copy:
// right after, when no holder has written again, and when all have.
func TestBudgetsAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyd.Store{}
		store.Restore(0, time.Hour) // The first epoch of a store may be any.
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := alloc.New(alloc.Options{Store: store, Topic: "b", Instance: "a", Policy: alloc.Policy, Machine: "m"})
		go s.Run(ctx)
		s.SetTotals(4, []alloc.Total{{Budget: "desk", Tokens: 160_000}})
		// The instance has no account and can't know that the log was restored before it had any.
		time.Sleep(3 * time.Second)
		reservation, err := s.Reserve(t.Context(), "desk", 5000)
		if err != nil {
			t.Fatal(err)
		}
		s.Settle(reservation, 3000)
		time.Sleep(5 * time.Second)
		topics := audit.Topics{Accounts: "b", AccountPartitions: 1, Pledges: "p", PledgePartitions: 1}
		totals := map[string]acct.Total{"desk": {Version: 4, Tokens: 160_000}}
		check := func(when string, unconfirmed bool) {
			t.Helper()
			list, err := audit.Budgets(t.Context(), store, topics, totals, "desk")
			if err != nil {
				t.Fatal(err)
			}
			b := list[0]
			if (b.Withheld > 0) != unconfirmed || len(b.Leases) != 1 || b.Leases[0].Unconfirmed != unconfirmed ||
				b.Free+b.Withheld+b.Leases[0].Held+b.Spent != b.Paid {
				t.Errorf("%s: got budget %+v, want paid = free + withheld + held + spent, and unconfirmed %v", when, b, unconfirmed)
			}
		}
		check("before the restore", false)
		store.Restore(time.Second, time.Hour)
		check("right after it", true)
		time.Sleep(5 * time.Second)
		check("seconds after it", false)
		cancel()
	})
}

func put(t *testing.T, s *keyd.Store, topic, key, value string) {
	t.Helper()
	s.Put(keyed.Partition{Topic: topic}, keyed.Entry{Key: key, Value: []byte(value)})
}

// TestTargets checks the order of the targets, and that an entry that cannot be
// decoded is listed with its fault.
func TestTargets(t *testing.T) {
	store := &keyd.Store{}
	put(t, store, "t", "z", `{"ID":"z","Service":"a","Draining":true}`)
	put(t, store, "t", "y", `{"ID":"y","Service":"b","DataCentre":"dc"}`)
	put(t, store, "tables", keyd.EvacuationPrefix+"dc", `{}`)
	put(t, store, "t", "broken", `{`)
	put(t, store, "board", limit.Key("y/0"), `{"seq":1,"rate":1.5}`)
	put(t, store, "board", limit.Key("z/0"), `{"seq":2,"rate":0}`)
	put(t, store, "board", limit.Key("w/0"), `x`)
	got, err := audit.Targets(t.Context(), store, audit.Partitions{
		Targets: keyed.Partition{Topic: "t"}, Tables: keyed.Partition{Topic: "tables"}, Board: keyed.Partition{Topic: "board"},
	}, keyd.Records{})
	if err != nil || len(got) != 3 {
		t.Fatalf("targets are %+v, error %v; want 3 targets", got, err)
	}
	if got[0].ID != "broken" || got[0].Fault == "" || got[1].ID != "z" || !got[1].Draining || got[2].ID != "y" || got[2].Fault != "" || got[2].Limit != 1.5 || got[1].Limit != 0 || !got[2].Evacuated || got[1].Evacuated {
		t.Errorf("targets are %+v, want broken with a fault, z draining, and y without a fault, with a limit and evacuated", got)
	}
}

// TestTable checks that the newest configuration is returned. An error must be
// returned if the store has no configuration, if the configuration is malformed, or
// if the store is down.
func TestTable(t *testing.T) {
	store := &keyd.Store{}
	partition := keyed.Partition{Topic: "c"}
	if _, err := audit.Table(t.Context(), store, partition, keyd.Records{}); !errors.Is(err, audit.ErrNotFound) {
		t.Errorf("no configuration: error is %v, want ErrNotFound", err)
	}
	put(t, store, "c", "config", `{"Version":7}`)
	put(t, store, "c", "other", `{"Version":3}`)
	got, err := audit.Table(t.Context(), store, partition, keyd.Records{})
	if err != nil || got.Version != 7 {
		t.Errorf("configuration is %+v, error %v; want version 7", got, err)
	}
	put(t, store, "c", "config", `{`)
	if got, err := audit.Table(t.Context(), store, partition, keyd.Records{}); err == nil {
		t.Errorf("malformed configuration: got %+v, want an error", got)
	}
	store.Switches.Set(keyd.Switches{Down: true})
	if _, err := audit.Table(t.Context(), store, partition, keyd.Records{}); !errors.Is(err, keyed.ErrUnavailable) {
		t.Errorf("store down: error is %v, want ErrUnavailable", err)
	}
}

// TestParts: the list has the parts that targets ended on, and no other records; a release
// ends the quarantine at every reader.
func TestParts(t *testing.T) {
	s := &keyd.Store{}
	p := keyed.Partition{Topic: "board"}
	now := time.Now()
	bad := poison.Part{Service: "s", ID: "bad"}
	record := poison.Record{Round: 2, Ended: []string{"t1", "t2"}, Until: now.Add(time.Hour).UnixMilli(), Terms: 1}
	put(t, s, "board", bad.Key(), string(record.Encode()))
	put(t, s, "board", poison.Part{Service: "s", ID: "cleared"}.Key(), string(poison.Record{Round: 1}.Encode()))
	put(t, s, "board", "foreign", "x")
	list, err := audit.Parts(t.Context(), s, p, now)
	if err != nil || len(list) != 1 || list[0].Kind != "part" || list[0].ID != "bad" || !list[0].Quarantined || list[0].Cleared != 2 {
		t.Fatalf("got %+v, error %v; want the part in quarantine alone", list, err)
	}
	if err := audit.ReleasePart(t.Context(), s, p, "s", "other"); !errors.Is(err, audit.ErrNotFound) {
		t.Errorf("release of an unknown part: error %v, want ErrNotFound", err)
	}
	if err := audit.ReleasePart(t.Context(), s, p, "s", "bad"); err != nil {
		t.Fatal(err)
	}
	var reader poison.Tracker
	reader.Merge(now, bad, record)
	page, err := keyed.Snapshot(t.Context(), s, p)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range page.Entries {
		if e.Key == bad.Key() {
			r, err := poison.Decode(e.Value)
			if err != nil {
				t.Fatal(err)
			}
			reader.Merge(now, bad, r)
		}
	}
	if _, _, held := reader.Check(now, poison.Request{Service: "s", Parts: []string{"bad"}}, false); held {
		t.Error("the part is still in quarantine at a reader")
	}
}
