package opsvc

import (
	"context"
	"fmt"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Bill is the tokens billed for one request.
type Bill struct {
	Request string `json:"request"`
	// Budget and Service are empty if the record has expired.
	Budget  string          `json:"budget,omitempty"`
	Service string          `json:"service,omitempty"`
	Tokens  ledger.Tokens   `json:"tokens"`
	Charges []ledger.Charge `json:"charges"`
	// At is the time of settlement in Unix seconds, and Offset the offset of the
	// record in its stream. Both are 0 if the record has expired.
	At     int64         `json:"at,omitempty"`
	Offset logsvc.Offset `json:"offset,omitempty"`
	// Copies is the number of repeated records of the request, which bill nothing.
	Copies int `json:"copies,omitempty"`
}

// Usage lists bills in the log order of each stream.
type Usage struct {
	Bills []Bill `json:"bills"`
	// Tokens is the sum of the bills.
	Tokens ledger.Tokens `json:"tokens"`
	// Complete is false if older records have expired.
	Complete bool `json:"complete"`
}

// Usage returns the bills of a budget, or of all budgets if the name is empty, whose
// records are still in the log.
func (s *Service) Usage(ctx context.Context, name string) (Usage, error) {
	all := Usage{Bills: []Bill{}, Complete: true}
	for shard := range s.shards() {
		if name != "" && s.budgetStream(name) != ledger.Stream(shard) {
			continue
		}
		if err := s.shardUsage(ctx, shard, name, &all); err != nil {
			return Usage{}, err
		}
	}
	for _, b := range all.Bills {
		all.Tokens += b.Tokens
	}
	return all, nil
}

// shardUsage adds the bills of one budget stream to the usage all.
func (s *Service) shardUsage(ctx context.Context, shard int, name string, all *Usage) error {
	byRequest := make(map[string]int)
	state := &ledger.State{OnDecision: func(d ledger.Decision) {
		u, ok := d.Item.(ledger.Usage)
		if !ok || name != "" && u.Budget != name {
			return
		}
		if d.Applied {
			byRequest[u.Request] = len(all.Bills)
			all.Bills = append(all.Bills, newBill(u, d))
		} else if i, known := byRequest[u.Request]; known && d.Reason == ledger.ReasonRepeated {
			all.Bills[i].Copies++
		}
	}}
	f, err := s.catchUp(ctx, ledger.Stream(shard), state)
	if err != nil {
		return err
	}
	f.View(func(r *fold.Reader) { all.Complete = all.Complete && r.Stats.Restores == 0 })
	return nil
}

func newBill(u ledger.Usage, d ledger.Decision) Bill {
	return Bill{
		Request: u.Request,
		Budget:  u.Budget,
		Service: u.Service,
		Tokens:  d.Tokens,
		Charges: d.Billed,
		At:      u.At,
		Offset:  d.At.Offset,
	}
}

// RequestUsage returns the bill of one request. It returns ErrNotFound if the
// request was not billed, or so long ago that its bill has been forgotten.
func (s *Service) RequestUsage(ctx context.Context, request string) (Bill, error) {
	all, err := s.Usage(ctx, "")
	if err != nil {
		return Bill{}, err
	}
	for _, b := range all.Bills {
		if b.Request == request {
			return b, nil
		}
	}
	for shard := range s.shards() {
		var state ledger.State
		if _, err := s.catchUp(ctx, ledger.Stream(shard), &state); err != nil {
			return Bill{}, err
		}
		if b, ok := state.Billed(request); ok {
			return Bill{Request: request, Tokens: b.Tokens, Charges: b.Charges}, nil
		}
	}
	return Bill{}, fmt.Errorf("bill of request %q: %w", request, ErrNotFound)
}
