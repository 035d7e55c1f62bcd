package engd

import (
	"container/list"
	"encoding/hex"
	"hash/fnv"
	"time"
)

const (
	// blockTokens is the number of prompt tokens in one block of the cache.
	blockTokens = 16
	// maxEvents bounds the cache events that are kept.
	maxEvents = 8192
)

// Event is a change of the prefix cache.
type Event struct {
	// ID counts the events from 1. Events that the engine left out leave gaps.
	ID uint64 `json:"id"`
	// Action is "stored" or "removed".
	Action string `json:"action"`
	// Block is the hash of the prompt up to the end of the block.
	Block string `json:"block"`

	at time.Time
}

// prefixCache holds the blocks of recent prompts, the least recently used going
// first. The zero value is empty.
type prefixCache struct {
	order  list.List // of string, most recently used first
	blocks map[string]*list.Element
	events []Event
	// made counts all events, those left out as well.
	made uint64
}

// use looks a prompt up, stores it, and returns the number of leading tokens
// that the cache held.
func (c *prefixCache) use(prompt []string, sw Switches, now time.Time) int {
	if c.blocks == nil {
		c.blocks = make(map[string]*list.Element)
	}
	held, missed := 0, false
	for _, block := range blockHashes(prompt) {
		if el, ok := c.blocks[block]; ok {
			c.order.MoveToFront(el)
			if !missed {
				held += blockTokens
			}
			continue
		}
		missed = true
		c.blocks[block] = c.order.PushFront(block)
		c.emit("stored", block, sw, now)
	}
	c.shrink(sw, now)
	return held
}

// shrink drops blocks beyond the bound.
func (c *prefixCache) shrink(sw Switches, now time.Time) {
	for c.order.Len() > sw.cacheBlocks() {
		block := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, block)
		c.emit("removed", block, sw, now)
	}
}

func (c *prefixCache) emit(action, block string, sw Switches, now time.Time) {
	c.made++
	if sw.EventsGapEvery > 0 && c.made%uint64(sw.EventsGapEvery) == 0 {
		return
	}
	c.events = append(c.events, Event{ID: c.made, Action: action, Block: block, at: now})
	if len(c.events) > maxEvents {
		c.events = append([]Event(nil), c.events[len(c.events)-maxEvents/2:]...)
	}
}

// since returns the events from the given id on that are due to be published.
func (c *prefixCache) since(from uint64, sw Switches, now time.Time) []Event {
	due := now.Add(-time.Duration(sw.EventsLateMS) * time.Millisecond)
	found := []Event{}
	for _, e := range c.events {
		if e.ID >= from && !e.at.After(due) {
			found = append(found, e)
		}
	}
	return found
}

// usedPermille returns the share of the cache in use.
func (c *prefixCache) usedPermille(sw Switches) int {
	return 1000 * c.order.Len() / sw.cacheBlocks()
}

// blockHashes returns the hash of each full block together with all before it.
func blockHashes(prompt []string) []string {
	var hashes []string
	h := fnv.New64a()
	for i, token := range prompt {
		_, _ = h.Write([]byte(token))
		_, _ = h.Write([]byte{0})
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, hex.EncodeToString(h.Sum(nil)))
		}
	}
	return hashes
}
