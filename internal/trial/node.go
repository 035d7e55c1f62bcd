// Package trial runs the budget decisions against the histories that they have
// to stand: in simulated time, in one goroutine, without sockets. It compares
// policies and reports overspend, false refusals and traffic.
package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
	"github.com/beryllanding/beryllanding/pkg/slice"
)

// Log is one stream in memory.
type Log struct {
	records []logsvc.Record
	// first is the lowest offset that is still retained.
	first logsvc.Offset
	// Bytes and Appends count what was appended.
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

// AppendItem adds a record of one item under a writer of its own.
func (l *Log) AppendItem(item ledger.Item) {
	writer := fmt.Sprintf("operator-%d", l.next())
	l.Append(encode(fold.Batch{Writer: writer, Seq: 1, Items: []fold.Item{ledger.Encode(item)}}))
}

// Expire drops the records below first.
func (l *Log) Expire(first logsvc.Offset) { l.first = max(l.first, first) }

// Page returns up to limit records from an offset on.
func (l *Log) Page(from logsvc.Offset, limit int) logsvc.Page {
	page := logsvc.Page{First: max(1, l.first), Next: l.next()}
	from = max(from, page.First)
	for at := from; at < page.Next && len(page.Records) < limit; at++ {
		page.Records = append(page.Records, l.records[at-1])
	}
	return page
}

func (l *Log) next() logsvc.Offset { return logsvc.Offset(len(l.records) + 1) }

// Writer is the decision part of a writer: one batch in flight at a time, which
// is sent until it is known to be on the log.
type Writer struct {
	Name   string
	queue  []fold.Item
	seq    uint64
	flying []byte
}

// Propose queues an item.
func (w *Writer) Propose(item fold.Item) { w.queue = append(w.queue, item) }

// Next returns the batch to append, or nil. It is the same one until Done.
func (w *Writer) Next() []byte {
	if w.flying == nil && len(w.queue) > 0 {
		w.seq++
		w.flying = encode(fold.Batch{Writer: w.Name, Seq: w.seq, Items: w.queue})
		w.queue = nil
	}
	return w.flying
}

// Done notes that the batch is on the log.
func (w *Writer) Done() { w.flying = nil }

func encode(b fold.Batch) []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(err) // only an item that cannot be encoded
	}
	return data
}

// Node is the decision part of one entry instance.
type Node struct {
	Name     string
	Holder   *slice.Holder
	Follower *fold.Follower
	State    *ledger.State
	Writer   Writer

	log *Log
	// limit bounds the records of the read under way.
	limit int
	// lives counts the incarnations of the instance.
	lives    int
	restores uint64
	// at is the time of the event that is being handled.
	at time.Time
}

// NewNode returns a node that starts its first life.
func NewNode(name string, log *Log, policy slice.Policy) *Node {
	n := &Node{Name: name, log: log}
	n.Start(policy)
	return n
}

// Start begins a new life, of which nothing is kept but its number.
func (n *Node) Start(policy slice.Policy) {
	own := n.nextIncarnation()
	n.Holder = slice.New(own, policy)
	n.State = &ledger.State{OnDecision: n.decided}
	n.Follower = &fold.Follower{
		Log:     n,
		Reader:  fold.Reader{Machine: n.State},
		OnApply: n.applied,
	}
	n.Writer = Writer{Name: string(own)}
	n.restores = 0
}

// Append is not used: the writer's batches are appended by the trial.
func (n *Node) Append(context.Context, string, []byte) (logsvc.Offset, error) {
	return 0, logsvc.ErrUnavailable
}

// Read serves the node's follower.
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

// CloseHolder drops the lots of a closed holder.
func (n *Node) CloseHolder(h ident.Incarnation) {
	if !n.Holder.Closed(h) {
		n.Holder.CloseHolder(h, n.nextIncarnation())
	}
}

// applied takes over what was decided behind a checkpoint.
func (n *Node) applied() {
	if r := n.Follower.Reader.Stats.Restores; r != n.restores {
		n.restores = r
		n.Holder.Recover(n.State, !n.Follower.Reader.Stale(), n.at)
	}
}

// Poll reads and folds up to limit records.
func (n *Node) Poll(limit int, now time.Time) error {
	n.at = now
	n.limit = limit
	return n.Follower.Poll(context.Background(), 0)
}

// Sync shows the holder what the fold has of a budget.
func (n *Node) Sync(budget string, fresh bool) {
	fresh = fresh && !n.Follower.Reader.Stale()
	n.Holder.Sync(budget, slice.See(n.State, budget, n.Holder.Own(), fresh))
}

// Carry queues the proposals among the effects, and returns the others.
func (n *Node) Carry(effects []slice.Effect) []slice.AskPeers {
	var asks []slice.AskPeers
	for _, e := range effects {
		switch e := e.(type) {
		case slice.ProposeGrant:
			n.Writer.Propose(ledger.Encode(ledger.Grant{Budget: e.Budget, Holder: e.Holder, Tokens: e.Tokens}))
		case slice.ProposeReturn:
			n.Writer.Propose(ledger.Encode(ledger.Return{Budget: e.Budget, Holder: e.Holder, Tokens: e.Tokens}))
		case slice.AskPeers:
			asks = append(asks, e)
		}
	}
	return asks
}
