// Package simul simulates the budget logic under load and failures. It runs in
// simulated time, in one goroutine and without sockets. It compares policies and
// reports overspend, false refusals and traffic.
package simul

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/lease"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// Log is an in-memory stream of the log service.
type Log struct {
	records []logsvc.Record
	// first is the lowest offset that is still retained.
	first logsvc.Offset
	// Bytes and Appends count the bytes and records appended.
	Bytes   int
	Appends int
}

// Append adds a record and returns its offset.
func (l *Log) Append(data []byte) logsvc.Offset {
	at := l.next()
	l.records = append(l.records, logsvc.Record{Offset: at, Data: data})
	l.Bytes += len(data)
	l.Appends++
	return at
}

// AppendItem appends a batch of a single item, from a new writer.
func (l *Log) AppendItem(item ledger.Item) {
	writer := fmt.Sprintf("operator-%d", l.next())
	l.Append(encode(fold.Batch{Writer: writer, Seq: 1, Items: []fold.Item{ledger.Encode(item)}}))
}

// Expire drops the records below first.
func (l *Log) Expire(first logsvc.Offset) { l.first = max(l.first, first) }

// Page returns up to limit records, starting at offset from or at the first
// retained one if that is later.
func (l *Log) Page(from logsvc.Offset, limit int) logsvc.Page {
	page := logsvc.Page{First: max(1, l.first), Next: l.next()}
	from = max(from, page.First)
	for at := from; at < page.Next && len(page.Records) < limit; at++ {
		page.Records = append(page.Records, l.records[at-1])
	}
	return page
}

func (l *Log) next() logsvc.Offset { return logsvc.Offset(len(l.records) + 1) }

// Writer is the logic of a writer without its input and output. It has one batch
// in flight at a time, and resends this batch until it is known to be on the
// log.
type Writer struct {
	Name     string
	queue    []fold.Item
	seq      uint64
	inFlight []byte
}

// Propose queues an item.
func (w *Writer) Propose(item fold.Item) { w.queue = append(w.queue, item) }

// Next returns the batch to append, or nil if there is none. It returns the same
// batch until Confirm is called.
func (w *Writer) Next() []byte {
	if w.inFlight == nil && len(w.queue) > 0 {
		w.seq++
		w.inFlight = encode(fold.Batch{Writer: w.Name, Seq: w.seq, Items: w.queue})
		w.queue = nil
	}
	return w.inFlight
}

// Confirm records that the batch returned by Next is on the log.
func (w *Writer) Confirm() { w.inFlight = nil }

func encode(b fold.Batch) []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(err) // only if an item cannot be encoded
	}
	return data
}

// Node is the budget logic of one entry instance, without its input and output.
type Node struct {
	Name     string
	Holder   *lease.Holder
	Follower *fold.Follower
	State    *ledger.State
	Writer   Writer

	log *Log
	// limit is the maximum number of records that Read returns.
	limit int
	// lives counts the incarnations of the instance so far.
	lives int
	// restores is the number of checkpoint restores already handled.
	restores uint64
	// at is the current simulated time.
	at time.Time
}

// NewNode returns a node in its first incarnation.
func NewNode(name string, log *Log, policy lease.Policy) *Node {
	n := &Node{Name: name, log: log}
	n.Restart(policy)
	return n
}

// Restart restarts the node as a new incarnation. All other state is discarded.
func (n *Node) Restart(policy lease.Policy) {
	own := n.nextIncarnation()
	n.Holder = lease.New(own, policy)
	n.State = &ledger.State{OnDecision: n.decided}
	n.Follower = &fold.Follower{
		Log:     n,
		Reader:  fold.Reader{Machine: n.State},
		OnApply: n.applied,
	}
	n.Writer = Writer{Name: string(own)}
	n.restores = 0
}

// Append is required by the follower's log interface and always fails: the
// simulation appends the writer's batches itself.
func (n *Node) Append(context.Context, string, []byte) (logsvc.Offset, error) {
	return 0, logsvc.ErrUnavailable
}

// Read returns records of the log to the node's follower, at most n.limit.
func (n *Node) Read(_ context.Context, _ string, from logsvc.Offset, _ int, _ time.Duration) (logsvc.Page, error) {
	return n.log.Page(from, n.limit), nil
}

func (n *Node) nextIncarnation() ident.Incarnation {
	n.lives++
	return ident.Incarnation(fmt.Sprintf("%s~%d", n.Name, n.lives))
}

func (n *Node) decided(d ledger.Decision) {
	if r, ok := d.Item.(ledger.Reclaim); ok {
		n.CloseHolder(r.Holder)
		return
	}
	n.Holder.Decided(d, n.at)
}

// CloseHolder drops the lots of a closed holder. If that is the node's own
// incarnation, the node continues as the next one.
func (n *Node) CloseHolder(h ident.Incarnation) {
	if !n.Holder.Closed(h) {
		n.Holder.CloseHolder(h, n.nextIncarnation())
	}
}

// applied rebuilds the holder after the follower restored a checkpoint, as the
// decisions before the checkpoint were not delivered one by one.
func (n *Node) applied() {
	if r := n.Follower.Reader.Stats.Restores; r != n.restores {
		n.restores = r
		n.Holder.Recover(n.State, !n.Follower.Reader.Stale(), n.at)
	}
}

// Poll reads up to limit records and applies them to the state.
func (n *Node) Poll(limit int, now time.Time) error {
	n.at = now
	n.limit = limit
	return n.Follower.Poll(context.Background(), 0)
}

// Sync updates the holder with the node's replicated state of a budget. fresh
// reports whether that state is current. It has no effect if the follower's
// reader is stale: the state then counts as not current.
func (n *Node) Sync(budget string, fresh bool) {
	fresh = fresh && !n.Follower.Reader.Stale()
	n.Holder.Sync(budget, lease.ViewOf(n.State, budget, n.Holder.ID(), fresh))
}

// Carry queues the grants and returns among the effects as proposals to the log
// and returns the transfer requests to peers.
func (n *Node) Carry(effects []lease.Effect) []lease.RequestTransfer {
	var asks []lease.RequestTransfer
	for _, e := range effects {
		switch e := e.(type) {
		case lease.ProposeGrant:
			n.Writer.Propose(ledger.Encode(ledger.Grant{Budget: e.Budget, Holder: e.Holder, Tokens: e.Tokens}))
		case lease.ProposeReturn:
			n.Writer.Propose(ledger.Encode(ledger.Return{Budget: e.Budget, Holder: e.Holder, Tokens: e.Tokens}))
		case lease.RequestTransfer:
			asks = append(asks, e)
		}
	}
	return asks
}
