package vault

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/sheet"
)

const (
	// keepTimeout bounds a call to a witness, some round trips between data centres, and
	// keepTries the calls before it counts as lost: an answer may be.
	keepTimeout = 100 * time.Millisecond
	keepTries   = 3
	// keptFor is how long pledges are kept for a holder that makes no new ones. Its
	// successor comes within seconds, or cannot tell any more what was not used.
	keptFor = time.Minute
	// vouchTimeout bounds how long a successor waits for the witnesses.
	vouchTimeout = 250 * time.Millisecond
)

// witness is both sides of pledges that peers keep in memory: those of this instance,
// at one peer, and those that it keeps for others.
//
// It answers machines that lose power, and processes that are killed while the store is
// out of reach: the store's pledges are then old, or without a clock to tell their age.
// A witness that lives on knows more. Its word only ever lowers what counts as spent:
// each pledge that the holder made binds it, so that any of them may be missing.
type witness struct {
	worker worker

	mu sync.Mutex
	// addr is the peer that keeps this instance's pledges, and echo its clock at its
	// last answer.
	addr string
	echo time.Duration
	// number is that of the newest pledges, and void the one up to which those of a
	// lost witness are to be void in the store.
	number int64
	void   int64
	kept   map[ident.Incarnation]kept
}

// kept is the newest pledges of a holder.
type kept struct {
	number  int64
	pledges []byte
	// since is a time before they were made, by the own clock; 0 is not known.
	since time.Duration
	at    time.Time
}

// lost returns the number up to which pledges to lost witnesses are to be void.
func (w *witness) lost() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.void
}

// witnessTurn makes new pledges to the witness where some are due.
func (s *Service) witnessTurn(ctx context.Context) (did bool, err error) {
	if s.opts.Dial == nil || s.opts.Clock == nil || !s.witnessDue() {
		return false, nil
	}
	w := &s.witness
	addr := s.chooseWitness()
	if addr == "" {
		return false, nil
	}
	if err := s.greet(ctx, addr); err != nil {
		s.logf(log.InfoLevel, "peer cannot be a witness", "peer", addr, "err", err)
		s.peers.note(&s.peers.deaf, addr, time.Now())
		return true, nil // The next turn goes to another peer.
	}
	w.mu.Lock()
	w.number++
	number, echo := w.number, w.echo
	w.mu.Unlock()
	pledges := &sheet.Pledges{Holder: s.holder.Own()}
	away, now := s.pledger.worker.isFailed(), time.Now()
	for _, b := range s.all() {
		if line, ok := s.holder.Promise(b.name, addr, number, away, now); ok {
			pledges.Lines = append(pledges.Lines, line)
		}
	}
	clock, err := s.keepAt(ctx, addr, number, echo, pledges)
	if err != nil {
		s.loseWitness(addr, number, err)
		return true, nil // The next turn goes to another peer.
	}
	for _, line := range pledges.Lines {
		s.holder.Kept(line.Budget, addr, number)
	}
	w.mu.Lock()
	w.echo = clock
	w.mu.Unlock()
	return true, nil
}

// greet finds out whether a peer that is to become the witness is there, and its clock,
// before anything is promised to it.
func (s *Service) greet(ctx context.Context, addr string) error {
	w := &s.witness
	w.mu.Lock()
	before := w.addr
	w.mu.Unlock()
	if addr == before {
		return nil
	}
	clock, err := s.keepAt(ctx, addr, 0, 0, &sheet.Pledges{Holder: s.holder.Own()})
	if err != nil {
		return err
	}
	s.logf(log.InfoLevel, "witness of the pledges changed", "witness", addr, "before", before)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr, w.echo = addr, clock
	return nil
}

func (s *Service) witnessDue() bool {
	now := time.Now()
	return slices.ContainsFunc(s.all(), func(b *book) bool { return s.holder.WitnessDue(b.name, now) })
}

// chooseWitness returns the peer that keeps the pledges: the one that did so before, or
// the next in the order of the keys that may answer. It is empty where there is none.
func (s *Service) chooseWitness() string {
	now := time.Now()
	s.witness.mu.Lock()
	current := s.witness.addr
	s.witness.mu.Unlock()
	if current != "" && s.peers.hears(current, now) {
		return current
	}
	var after, before string
	for _, p := range s.parts {
		p.mu.Lock()
		for _, key := range p.state.Keys() {
			a := p.state.Account(key)
			if key == s.key || a.Peer == "" || !s.peers.hears(a.Peer, now) {
				continue
			}
			if key > s.key && after == "" {
				after = a.Peer
			}
			if before == "" {
				before = a.Peer
			}
		}
		p.mu.Unlock()
	}
	if after != "" {
		return after
	}
	return before
}

// keepAt sends pledges to a witness, again where an answer is lost, and returns its
// clock.
func (s *Service) keepAt(ctx context.Context, addr string, number int64, echo time.Duration, pledges *sheet.Pledges) (time.Duration, error) {
	data, err := pledges.Encode()
	if err != nil {
		return 0, err
	}
	client := s.opts.Dial(addr)
	if client == nil {
		return 0, errors.New("no connection can be made")
	}
	req := &wire.KeepPledgesRequest{Holder: string(pledges.Holder), Number: number, Echo: int64(echo), Pledges: data}
	for range keepTries {
		var reply *wire.KeepPledgesReply
		if reply, err = keep(ctx, client, req); err == nil {
			return time.Duration(reply.GetClock()), nil
		}
	}
	return 0, err
}

func keep(ctx context.Context, client wire.PeerClient, req *wire.KeepPledgesRequest) (*wire.KeepPledgesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	return client.KeepPledges(ctx, req)
}

// loseWitness has the pledges to a peer that does not answer made void in the store: it
// may keep them, and nobody can tell it that they are over.
func (s *Service) loseWitness(addr string, number int64, err error) {
	s.logf(log.InfoLevel, "witness does not answer", "witness", addr, "number", number, "err", err)
	s.peers.note(&s.peers.deaf, addr, time.Now())
	s.witness.mu.Lock()
	s.witness.void, s.witness.addr = number, ""
	s.witness.mu.Unlock()
	s.pledger.worker.kick(s.context())
}

// KeepPledges keeps the pledges of another instance.
func (s *Service) KeepPledges(req *wire.KeepPledgesRequest) (*wire.KeepPledgesReply, error) {
	if s.opts.Clock == nil {
		return nil, errors.New("instance has no clock to go by")
	}
	w, now := &s.witness, time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for holder, k := range w.kept {
		if now.Sub(k.at) > keptFor {
			delete(w.kept, holder)
		}
	}
	holder := ident.Incarnation(req.GetHolder())
	if req.GetNumber() > w.kept[holder].number {
		if w.kept == nil {
			w.kept = make(map[ident.Incarnation]kept)
		}
		w.kept[holder] = kept{number: req.GetNumber(), pledges: req.GetPledges(), since: time.Duration(req.GetEcho()), at: now}
	}
	return &wire.KeepPledgesReply{Clock: int64(s.opts.Clock())}, nil
}

// KeptPledges returns the newest pledges that this instance keeps of a holder.
func (s *Service) KeptPledges(req *wire.KeptPledgesRequest) *wire.KeptPledgesReply {
	w := &s.witness
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.kept[ident.Incarnation(req.GetHolder())]
	if !ok {
		return &wire.KeptPledgesReply{}
	}
	reply := &wire.KeptPledgesReply{Number: k.number, Pledges: k.pledges, Age: -1}
	if k.since > 0 {
		reply.Age = int64(s.opts.Clock() - k.since)
	}
	return reply
}

// vouch asks all peers for the pledges that they keep of ended incarnations of this
// instance.
func (s *Service) vouch(ctx context.Context) []vouched {
	if s.opts.Dial == nil || s.opts.Clock == nil {
		return nil
	}
	holders, addrs := s.predecessors()
	ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
	defer cancel()
	var mu sync.Mutex
	var all []vouched
	var wg sync.WaitGroup
	for _, addr := range addrs {
		client := s.opts.Dial(addr)
		if client == nil {
			continue
		}
		wg.Go(func() {
			for _, holder := range holders {
				v, ok, err := vouchedBy(ctx, client, holder)
				if err != nil {
					s.logf(log.InfoLevel, "witness cannot be asked for an ended incarnation", "peer", addr, "holder", holder, "err", err)
					return
				}
				if ok {
					mu.Lock()
					all = append(all, v)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return all
}

// vouched is the word of a witness, and when it was given.
type vouched struct {
	sheet.Witnessed
	at time.Time
}

func vouchedBy(ctx context.Context, client wire.PeerClient, holder ident.Incarnation) (vouched, bool, error) {
	// The age grows from before the question on.
	at := time.Now()
	reply, err := client.KeptPledges(ctx, &wire.KeptPledgesRequest{Holder: string(holder)})
	if err != nil || reply.GetNumber() == 0 || reply.GetAge() < 0 {
		return vouched{}, false, err
	}
	pledges, err := sheet.DecodePledges(reply.GetPledges())
	if err != nil {
		return vouched{}, false, fmt.Errorf("pledges of %s: %w", holder, err)
	}
	return vouched{
		Witnessed: sheet.Witnessed{Pledges: pledges, Number: reply.GetNumber(), Age: time.Duration(reply.GetAge())},
		at:        at,
	}, true, nil
}

// predecessors returns the ended incarnations whose accounts are still open, and the
// peers that may know of them.
func (s *Service) predecessors() (holders []ident.Incarnation, addrs []string) {
	for _, p := range s.parts {
		p.mu.Lock()
		for _, key := range p.state.Keys() {
			a := p.state.Account(key)
			switch {
			case key != s.key && a.Peer != "" && !slices.Contains(addrs, a.Peer):
				addrs = append(addrs, a.Peer)
			case key == s.key && a.Holder != s.holder.Own() && !slices.Contains(holders, a.Holder):
				holders = append(holders, a.Holder)
			}
		}
		p.mu.Unlock()
	}
	if len(holders) == 0 {
		return nil, nil
	}
	return holders, addrs
}
