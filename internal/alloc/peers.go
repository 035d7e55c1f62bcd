package alloc

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/peers"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

const (
	// askConcurrency is the number of peers asked at the same time. maxPeersAsked is
	// the maximum number of peers that one request asks: until a budget is nearly
	// spent, one of a few peers has enough tokens.
	askConcurrency = 2
	maxPeersAsked  = 6
	// shortPause is the time after peers had too few tokens of a budget in which no
	// peer is asked for tokens of this budget.
	shortPause = 400 * time.Millisecond
)

// peerBackoff records which peers did not answer, and when peers last had too few tokens,
// by budget.
type peerBackoff struct {
	silence peers.Silence

	mu    sync.Mutex
	short map[string]time.Time
}

// mayAsk reports whether shortPause has passed since peers had too few tokens of a
// budget.
func (m *peerBackoff) mayAsk(budget string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.short[budget]) > shortPause
}

// noteShort records that peers had too few tokens of a budget.
func (m *peerBackoff) noteShort(budget string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.short == nil {
		m.short = make(map[string]time.Time)
	}
	m.short[budget] = now
}

// requestTransfers asks other instances for tokens of a budget, a few at a time, and reports
// whether it got all of them.
//
// It serves two cases. The store may be unreachable, while some instances have used up
// their leases and others hold more than their callers need. Or a budget is nearly
// spent, and its last tokens are spread over many instances.
func (s *Service) requestTransfers(ctx context.Context, b *budgetState, tokens ledger.Tokens) bool {
	if s.opts.Dial == nil || ctx.Err() != nil || !s.peerBackoff.mayAsk(b.name, time.Now()) {
		return false
	}
	addrs := s.peersOf(b)
	var got ledger.Tokens
	for len(addrs) > 0 && got < tokens && ctx.Err() == nil {
		n := min(askConcurrency, len(addrs))
		got += s.askConcurrently(ctx, b, addrs[:n], tokens-got)
		addrs = addrs[n:]
	}
	if got < tokens {
		s.peerBackoff.noteShort(b.name, time.Now())
	}
	return got >= tokens
}

// peersOf returns the addresses of instances that hold tokens of a budget. The
// addresses are in random order, because the number of tokens that each instance has
// left is not known.
func (s *Service) peersOf(b *budgetState) []string {
	p, now := b.partition, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var addrs []string
	for _, key := range p.state.Keys() {
		a := p.state.Account(key)
		if key != s.key && a.Peer != "" && a.Line(b.name).Held() > 0 && s.peerBackoff.silence.MayAnswer(a.Peer, now) {
			addrs = append(addrs, a.Peer)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(maxPeersAsked, len(addrs))]
}

// askConcurrently asks the peers at the same time for an equal part each, and returns
// the sum of the tokens received.
func (s *Service) askConcurrently(ctx context.Context, b *budgetState, addrs []string, tokens ledger.Tokens) ledger.Tokens {
	each := (tokens + ledger.Tokens(len(addrs)) - 1) / ledger.Tokens(len(addrs))
	var mu sync.Mutex
	var got ledger.Tokens
	var wg sync.WaitGroup
	for _, addr := range addrs {
		client := s.opts.Dial(addr)
		if client == nil {
			continue
		}
		wg.Go(func() {
			n, err := peers.RequestTransfer(ctx, client, s.holder, b.name, each)
			if err != nil {
				s.peerBackoff.silence.Note(addr, time.Now())
				s.logf(log.InfoLevel, "peer did not answer a request for tokens", "peer", addr, "budget", b.name, "err", err)
			}
			mu.Lock()
			defer mu.Unlock()
			got += n
		})
	}
	wg.Wait()
	return got
}

// Transfer answers a peer that asks for tokens. A repeated request with the same id
// gets the same answer.
func (s *Service) Transfer(ctx context.Context, req *wire.TransferRequest) (*wire.TransferReply, error) {
	if s.fenced.Load() {
		return &wire.TransferReply{}, nil
	}
	reply := peers.ServeTransfer(ctx, s.holder, req)
	if len(reply.GetCharges()) > 0 {
		s.logf(log.DebugLevel, "tokens transferred to a peer", "budget", req.GetBudget(), "asked", req.GetTokens(),
			"given", wire.SumCharges(wire.ChargesOf(reply.GetCharges())), "taker", req.GetTaker())
	}
	return reply, nil
}
