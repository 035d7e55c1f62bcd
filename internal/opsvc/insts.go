package opsvc

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/insts"
)

// peerTimeout bounds the answer of one entry instance.
const peerTimeout = 3 * time.Second

// ErrNoAddress reports that the address of a platform service is not set.
var ErrNoAddress = errors.New("address is not set")

// Instances returns the instance list, ordered by name. It lags behind what it
// shows.
func (s *Service) Instances(ctx context.Context) ([]insts.Instance, error) {
	if s.List == nil {
		return nil, fmt.Errorf("instance list: %w", ErrNoAddress)
	}
	list, err := s.List.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b insts.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return list, nil
}

// Targets returns the listed side processes, one beside each target, of a
// service or of all where it is empty.
func (s *Service) Targets(ctx context.Context, service string) ([]insts.Instance, error) {
	list, err := s.Instances(ctx)
	return slices.DeleteFunc(list, func(i insts.Instance) bool {
		return i.Role != insts.Side || service != "" && i.Service != service
	}), err
}

// Holdings is what one entry instance says it holds.
type Holdings struct {
	Instance string `json:"instance"`
	Addr     string `json:"addr"`
	// Holder is the incarnation; empty where the instance did not answer.
	Holder string `json:"holder,omitempty"`
	// Error says why there is no answer.
	Error   string    `json:"error,omitempty"`
	Budgets []Holding `json:"budgets"`
}

// Holding is the tokens of one budget at one instance.
type Holding struct {
	Budget string `json:"budget"`
	// Free tokens can be reserved at once.
	Free int64 `json:"free"`
	// Reserved tokens belong to requests in progress.
	Reserved int64 `json:"reserved"`
}

// Holdings asks every listed entry instance what it holds of a budget, or of all
// where it is empty. An instance that does not answer has its Error set, and the
// error matches ErrPlatform then.
func (s *Service) Holdings(ctx context.Context, budget string) ([]Holdings, error) {
	list, err := s.Instances(ctx)
	if err != nil {
		return nil, err
	}
	routers := slices.DeleteFunc(list, func(i insts.Instance) bool { return i.Role != insts.Router })
	answers := make([]Holdings, len(routers))
	var wg sync.WaitGroup
	for i, r := range routers {
		wg.Go(func() { answers[i] = s.holdings(ctx, r, budget) })
	}
	wg.Wait()
	for _, a := range answers {
		if a.Error != "" {
			err = fmt.Errorf("entry instance %q: %w", a.Instance, ErrPlatform)
		}
	}
	return answers, err
}

func (s *Service) holdings(ctx context.Context, r insts.Instance, budget string) Holdings {
	answer := Holdings{Instance: r.Name, Addr: r.Addr, Budgets: []Holding{}}
	peer, closePeer, err := s.Peer(r.Addr)
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	defer closePeer()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := peer.Holdings(ctx, &wire.HoldingsRequest{Budget: budget})
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	answer.Holder = reply.GetHolder()
	for _, h := range reply.GetHoldings() {
		answer.Budgets = append(answer.Budgets, Holding{Budget: h.GetBudget(), Free: h.GetFree(), Reserved: h.GetReserved()})
	}
	slices.SortFunc(answer.Budgets, func(a, b Holding) int { return cmp.Compare(a.Budget, b.Budget) })
	return answer
}
