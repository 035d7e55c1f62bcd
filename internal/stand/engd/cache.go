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
	// maxEvents bounds the cache events retained. Beyond it, the older half is dropped.
	maxEvents = 8192
)

// Event is a change of the prefix cache.
type Event struct {
	// ID numbers the events from 1. Omitted events leave gaps.
	ID uint64 `json:"id"`
	// Action is "stored" or "removed".
	Action string `json:"action"`
	// Block is the hash of the prompt from its start to the end of the block.
	Block string `json:"block"`

	at time.Time
}

// prefixCache is an LRU cache of the blocks of recent prompts. The zero value is empty.
type prefixCache struct {
	order  list.List // of string, most recently used first
	blocks map[string]*list.Element
	events []Event
	// made counts all events, including the omitted ones.
	made uint64
}

// use looks up a prompt, stores all its blocks, and returns the number of its leading
// tokens that were in the cache.
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

// shrink removes the least recently used blocks beyond the size of the cache.
func (c *prefixCache) shrink(sw Switches, now time.Time) {
	for c.order.Len() > sw.cacheBlocks() {
		block := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, block)
		c.emit("removed", block, sw, now)
	}
}

// emit records an event, or omits it if the switches ask for a gap.
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

// since returns the events from the given id on that are at least EventsLateMS old.
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

// usedPermille returns the used part of the cache, in thousandths.
func (c *prefixCache) usedPermille(sw Switches) int {
	return 1000 * c.order.Len() / sw.cacheBlocks()
}

// blockHashes returns, for each full block, the hash of the prompt up to its end.
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
