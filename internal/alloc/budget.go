package alloc

import (
	"sync"
	"time"

	"github.com/beryllanding/beryllanding/pkg/acct"
	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// budgetState is the state of one budget on this instance.
type budgetState struct {
	name      string
	partition *partition

	mu sync.Mutex
	// progress is closed and replaced when waiting requests should try again.
	progress chan struct{}
	waiters  int
	// total is the newest paid total; it is valid if totalKnown is set.
	total      acct.Total
	totalKnown bool
	// unreturned counts tokens that were debited from the holder and whose return the
	// store has not recorded yet.
	unreturned ledger.Tokens
	// shortSince is when the accounts first had too few free tokens for a request, or
	// zero if they have enough. short is the smallest number of tokens that a request
	// has lacked since then.
	shortSince time.Time
	short      ledger.Tokens
}

// wait returns a channel that closes when a waiting request should try again. The
// caller must be registered with addWaiter.
func (b *budgetState) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.progress
}

func (b *budgetState) addWaiter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters++
}

func (b *budgetState) removeWaiter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters--
}

// signal wakes the requests that wait for tokens.
func (b *budgetState) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiters == 0 {
		return
	}
	close(b.progress)
	b.progress = make(chan struct{})
}

func (b *budgetState) addReturn(n ledger.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreturned += n
}

func (b *budgetState) pendingReturn() ledger.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unreturned
}

// confirmReturn subtracts tokens whose return the store has recorded.
func (b *budgetState) confirmReturn(n ledger.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreturned = max(0, b.unreturned-n)
}

// knownTotal returns the newest total that was set, and whether there is one.
func (b *budgetState) knownTotal() (acct.Total, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.totalKnown
}

// setTotal stores a newer total and reports whether the number of tokens changed.
func (b *budgetState) setTotal(t acct.Total) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Version <= b.total.Version && b.totalKnown {
		return false
	}
	changed := t.Tokens != b.total.Tokens
	b.total, b.totalKnown = t, true
	return changed
}

// noteShort records that the accounts have fewer free tokens than a request still needs
// here.
func (b *budgetState) noteShort(missing ledger.Tokens, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shortSince.IsZero() {
		b.shortSince, b.short = now, missing
	}
	b.short = min(b.short, missing)
}

// isSpent reports whether the budget has been short for at least spentDelay.
func (b *budgetState) isSpent(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.shortSince.IsZero() && now.Sub(b.shortSince) >= spentDelay
}

// noteFree ends the shortage of a budget if the free tokens in the accounts cover the
// smallest lack of a request and the unmet demand. Fewer free tokens would serve only a
// few requests, and do not end the shortage.
func (b *budgetState) noteFree(free, unmet ledger.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if free >= max(b.short, unmet) {
		b.shortSince = time.Time{}
	}
}
