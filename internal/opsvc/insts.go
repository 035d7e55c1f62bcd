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

// peerTimeout limits a call to one entry instance.
const peerTimeout = 3 * time.Second

// ErrNoAddress reports that the address of a platform service is not set.
var ErrNoAddress = errors.New("address is not set")

// Instances returns the instance list, ordered by name. The list
// lags behind the state of the instances.
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

// Targets returns the listed side processes of a service, one for each target. If
// service is empty, it returns those of all services.
func (s *Service) Targets(ctx context.Context, service string) ([]insts.Instance, error) {
	list, err := s.Instances(ctx)
	return slices.DeleteFunc(list, func(i insts.Instance) bool {
		return i.Role != insts.Side || service != "" && i.Service != service
	}), err
}

// Holdings are the tokens that one entry instance reports to hold.
type Holdings struct {
	Instance string `json:"instance"`
	// Addr is the host and port of the instance's gRPC server.
	Addr string `json:"addr"`
	// Holder is the incarnation; empty if the instance did not answer.
	Holder string `json:"holder,omitempty"`
	// Error is the reason why there is no answer.
	Error   string    `json:"error,omitempty"`
	Budgets []Holding `json:"budgets"`
}

// Holding is the number of tokens of one budget at one instance.
type Holding struct {
	Budget string `json:"budget"`
	// Free tokens can be reserved at once.
	Free int64 `json:"free"`
	// Reserved tokens belong to requests in progress.
	Reserved int64 `json:"reserved"`
}

// Holdings asks every listed entry instance for its tokens of a budget, or of all
// budgets if the name is empty. If an instance does not answer, its Error is set
// and the returned error matches ErrPlatform.
func (s *Service) Holdings(ctx context.Context, budget string) ([]Holdings, error) {
	routers, err := s.routers(ctx)
	if err != nil {
		return nil, err
	}
	answers := queryAll(routers, func(r insts.Instance) Holdings { return s.holdings(ctx, r, budget) })
	for _, a := range answers {
		if a.Error != "" {
			err = fmt.Errorf("entry instance %q: %w", a.Instance, ErrPlatform)
		}
	}
	return answers, err
}

// routers returns the listed entry instances.
func (s *Service) routers(ctx context.Context) ([]insts.Instance, error) {
	list, err := s.Instances(ctx)
	return slices.DeleteFunc(list, func(i insts.Instance) bool { return i.Role != insts.Router }), err
}

// queryAll queries all instances concurrently, and returns the answers in the order of
// the list.
func queryAll[T any](list []insts.Instance, query func(insts.Instance) T) []T {
	answers := make([]T, len(list))
	var wg sync.WaitGroup
	for i, inst := range list {
		wg.Go(func() { answers[i] = query(inst) })
	}
	wg.Wait()
	return answers
}

// withPeer connects to an entry instance and runs call, which is limited to
// peerTimeout.
func (s *Service) withPeer(ctx context.Context, r insts.Instance, call func(context.Context, wire.PeerClient) error) error {
	peer, closePeer, err := s.Peer(r.Addr)
	if err != nil {
		return err
	}
	defer closePeer()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return call(ctx, peer)
}

func (s *Service) holdings(ctx context.Context, r insts.Instance, budget string) Holdings {
	answer := Holdings{Instance: r.Name, Addr: r.Addr, Budgets: []Holding{}}
	err := s.withPeer(ctx, r, func(ctx context.Context, peer wire.PeerClient) error {
		reply, err := peer.Holdings(ctx, &wire.HoldingsRequest{Budget: budget})
		answer.Holder = reply.GetHolder()
		for _, h := range reply.GetHoldings() {
			answer.Budgets = append(answer.Budgets, Holding{Budget: h.GetBudget(), Free: h.GetFree(), Reserved: h.GetReserved()})
		}
		return err
	})
	if err != nil {
		answer.Error = err.Error()
	}
	slices.SortFunc(answer.Budgets, func(a, b Holding) int { return cmp.Compare(a.Budget, b.Budget) })
	return answer
}
