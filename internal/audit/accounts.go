package audit

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// Budget is the state of a budget according to the accounts of all instances.
type Budget struct {
	Name string `json:"name"`
	// Version is the version of the configuration that Paid is taken from.
	Version int64 `json:"version"`
	// Paid is the sum of Free, Withheld, Spent and the Held of all Leases. Spent counts
	// the tokens booked as spent by ended instances. Withheld counts those that are not
	// free because holders have not written their accounts again since the store was
	// restored from an older copy.
	Paid     ledger.Tokens `json:"paid"`
	Free     ledger.Tokens `json:"free"`
	Spent    ledger.Tokens `json:"spent"`
	Withheld ledger.Tokens `json:"withheld"`
	// Lost is the part of Spent that was probably never used.
	Lost   ledger.Tokens `json:"lost"`
	Leases []Lease       `json:"slices"`
}

// Lease is the part of a budget that one incarnation of an instance holds.
type Lease struct {
	Holder ident.Incarnation `json:"holder"`
	// Held is the number of tokens granted and not returned, used or not.
	Held ledger.Tokens `json:"held"`
	// Pledged is the number of tokens that the holder declared as used or
	// reserved. PerSecond is the rate at which this number may grow. A successor
	// of the holder takes back the rest of Held.
	Pledged   ledger.Tokens `json:"pledged"`
	PerSecond ledger.Tokens `json:"per-second"`
	// PledgeClock is the reading of the holder's machine clock at the pledge.
	// Machine identifies the machine and its boot.
	PledgeClock time.Duration `json:"pledge-clock-ns"`
	Machine     string        `json:"machine,omitempty"`
	// Unconfirmed means that the holder has not written its account since the store was
	// restored from an older copy. It may hold more.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// Topics names the topics in which instances keep their accounts and pledges, and
// their numbers of partitions.
type Topics struct {
	Accounts          string
	AccountPartitions int
	Pledges           string
	PledgePartitions  int
}

// Budgets returns all budgets, ordered by name. If name is not empty, it returns only
// the budget of that name. It returns ErrNotFound if there is no such budget, and
// another error if the store does not answer or a record cannot be decoded. totals
// are the totals of the current configuration, by budget.
func Budgets(ctx context.Context, s keyed.Store, t Topics, totals map[string]acct.Total, name string) ([]Budget, error) {
	pledges, err := readPledges(ctx, s, t)
	if err != nil {
		return nil, err
	}
	budgets := make(map[string]*Budget)
	for b, total := range totals {
		budgets[b] = &Budget{Name: b, Version: total.Version, Paid: total.Tokens, Free: total.Tokens, Leases: []Lease{}}
	}
	for partition := range t.AccountPartitions {
		state, err := readAccounts(ctx, s, keyed.Partition{Topic: t.Accounts, Index: partition})
		if err != nil {
			return nil, err
		}
		for _, key := range state.Keys() {
			account := state.Account(key)
			for _, l := range account.Lines {
				b := budgets[l.Budget]
				if b == nil {
					b = &Budget{Name: l.Budget, Leases: []Lease{}}
					budgets[l.Budget] = b
				}
				view := state.Budget(l.Budget, totals[l.Budget])
				b.Version, b.Paid, b.Free, b.Lost, b.Withheld = view.Total.Version, view.Total.Tokens, view.Free, view.Lost, view.Withheld
				b.Spent += l.Spent
				if l.Held() > 0 {
					lease := leaseOf(account.Holder, l, pledges[key])
					lease.Unconfirmed = !state.Confirmed(account)
					b.Leases = append(b.Leases, lease)
				}
			}
		}
	}
	if name != "" {
		b := budgets[name]
		if b == nil {
			return nil, fmt.Errorf("%w: budget %q", ErrNotFound, name)
		}
		return []Budget{*b}, nil
	}
	list := make([]Budget, 0, len(budgets))
	for _, b := range slices.SortedFunc(maps.Values(budgets), func(a, b *Budget) int { return strings.Compare(a.Name, b.Name) }) {
		list = append(list, *b)
	}
	return list, nil
}

func leaseOf(holder ident.Incarnation, l acct.Line, pledges *acct.Pledges) Lease {
	s := Lease{Holder: holder, Held: l.Held(), PerSecond: l.PerSecond}
	if pledges == nil || pledges.Holder != holder {
		return s
	}
	for _, p := range pledges.Lines {
		if p.Budget == l.Budget {
			s.Pledged, s.PerSecond, s.PledgeClock, s.Machine = p.Base, p.PerSecond, pledges.Clock, pledges.BootID
		}
	}
	return s
}

func readAccounts(ctx context.Context, s keyed.Store, partition keyed.Partition) (*acct.State, error) {
	page, err := keyed.Snapshot(ctx, s, partition)
	if err != nil {
		return nil, fmt.Errorf("read partition %d of topic %s: %w", partition.Index, partition.Topic, err)
	}
	state := &acct.State{}
	state.SetEpoch(int64(page.LogEpoch))
	for _, e := range page.Entries {
		if e.Value == nil {
			continue
		}
		a, err := acct.DecodeAccount(e.Value)
		if err != nil {
			return nil, fmt.Errorf("account %q at offset %d: %w", e.Key, e.Offset, err)
		}
		state.Set(e.Key, a)
	}
	return state, nil
}

// readPledges returns the pledges of all instances, by the key of the instance.
func readPledges(ctx context.Context, s keyed.Store, t Topics) (map[string]*acct.Pledges, error) {
	all := make(map[string]*acct.Pledges)
	for partition := range t.PledgePartitions {
		page, err := keyed.Snapshot(ctx, s, keyed.Partition{Topic: t.Pledges, Index: partition})
		if err != nil {
			return nil, fmt.Errorf("read partition %d of topic %s: %w", partition, t.Pledges, err)
		}
		for _, e := range page.Entries {
			if e.Value == nil {
				continue
			}
			if all[e.Key], err = acct.DecodePledges(e.Value); err != nil {
				return nil, fmt.Errorf("pledges %q at offset %d: %w", e.Key, e.Offset, err)
			}
		}
	}
	return all, nil
}
