// Package audit reads the budgets, the targets, the configuration and the parts of prompts
// that crash targets from a store with keyed topics, for operators. It writes only to
// release such a part.
package audit

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/limit"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/table"
)

// ErrNotFound is returned if the store has no such record.
var ErrNotFound = errors.New("store has no such record")

// Decoder decodes the records of the platform.
type Decoder interface {
	Table(e keyed.Entry) (*table.Table, error)
	Target(e keyed.Entry) (roster.Target, error)
	Evacuation(key string) (dataCentre string, ok bool)
}

// Target is an entry of the list of targets.
type Target struct {
	roster.Target
	Offset keyed.Offset
	// Limit is the number of requests a second that the target named as its limit for all
	// instances together; 0 if it named none.
	Limit float64 `json:",omitempty"`
	// Evacuated is set if the target's data centre is evacuated.
	Evacuated bool `json:",omitempty"`
	// Fault is the reason why the entry cannot be used. It is empty if the entry
	// can be used.
	Fault string `json:",omitempty"`
}

// Partitions names the partitions of the store that hold the list of targets, the operators'
// configuration, and what instances share of targets.
type Partitions struct{ Targets, Tables, Board keyed.Partition }

// Targets returns the list of targets, ordered by service and ID, with the limits that
// instances have shared and the operators' evacuations. It includes the entries that cannot
// be used.
func Targets(ctx context.Context, s keyed.Store, p Partitions, d Decoder) ([]Target, error) {
	known, err := readLimits(ctx, s, p.Board)
	if err != nil {
		return nil, err
	}
	tables, err := keyed.Snapshot(ctx, s, p.Tables)
	if err != nil {
		return nil, fmt.Errorf("read the evacuated data centres: %w", err)
	}
	evacuated := make(map[string]bool)
	for _, e := range tables.Entries {
		if dataCentre, ok := d.Evacuation(e.Key); ok && e.Value != nil {
			evacuated[dataCentre] = true
		}
	}
	page, err := keyed.Snapshot(ctx, s, p.Targets)
	if err != nil {
		return nil, fmt.Errorf("read the list of targets: %w", err)
	}
	var list []Target
	for _, e := range page.Entries {
		if e.Value == nil {
			continue
		}
		t := Target{Offset: e.Offset}
		if t.Target, err = d.Target(e); err != nil {
			t.Target, t.Fault = roster.Target{ID: e.Key}, err.Error()
		} else {
			t.Limit, t.Evacuated = known[t.Run()], evacuated[t.DataCentre]
		}
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b Target) int {
		return strings.Compare(a.Service+"\x00"+a.ID, b.Service+"\x00"+b.ID)
	})
	return list, nil
}

// readLimits returns the limits that instances have shared, by run of the target. It skips
// invalid records.
func readLimits(ctx context.Context, s keyed.Store, p keyed.Partition) (map[string]float64, error) {
	page, err := keyed.Snapshot(ctx, s, p)
	if err != nil {
		return nil, fmt.Errorf("read the limits of targets: %w", err)
	}
	known := make(map[string]float64)
	for _, e := range page.Entries {
		run, ok := limit.ParseKey(e.Key)
		if r, err := limit.Decode(e.Value); ok && err == nil {
			known[run] = r.Rate
		}
	}
	return known, nil
}

// Table returns the current configuration, which is the one with the highest
// version. It returns ErrNotFound if the store has no configuration.
func Table(ctx context.Context, s keyed.Store, p keyed.Partition, d Decoder) (*table.Table, error) {
	page, err := keyed.Snapshot(ctx, s, p)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	var newest *table.Table
	for _, e := range page.Entries {
		t, err := d.Table(e)
		if err != nil {
			return nil, fmt.Errorf("configuration at offset %d: %w", e.Offset, err)
		}
		if t != nil && (newest == nil || t.Version > newest.Version) {
			newest = t
		}
	}
	if newest == nil {
		return nil, fmt.Errorf("%w: configuration", ErrNotFound)
	}
	return newest, nil
}
