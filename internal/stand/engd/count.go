package engd

import "maps"

// maxCounted bounds the request ids that are counted one by one. The totals
// count all.
const maxCounted = 1 << 16

// Count is what the engine did for one request id, or in total.
type Count struct {
	// Runs counts the runs that got a slot.
	Runs int `json:"runs"`
	// PromptTokens and Tokens count the tokens read and made.
	PromptTokens int `json:"prompt-tokens"`
	Tokens       int `json:"tokens"`
	Cancels      int `json:"cancels"`
}

// Counts is what the engine did so far.
type Counts struct {
	Total Count `json:"total"`
	// Requests holds the newest request ids.
	Requests map[string]Count `json:"requests"`
}

// counts collects Counts. The zero value is empty.
type counts struct {
	total Count
	byID  map[string]*Count
	// order holds the ids, oldest first.
	order []string
}

func (c *counts) start(id string, prompt int) {
	for _, n := range []*Count{&c.total, c.of(id)} {
		n.Runs++
		n.PromptTokens += prompt
	}
}

func (c *counts) token(id string) {
	c.total.Tokens++
	c.of(id).Tokens++
}

func (c *counts) cancel(id string) {
	c.total.Cancels++
	c.of(id).Cancels++
}

// of returns the count of an id, and forgets the oldest id beyond the bound.
func (c *counts) of(id string) *Count {
	if n := c.byID[id]; n != nil {
		return n
	}
	if c.byID == nil {
		c.byID = make(map[string]*Count)
	}
	if len(c.order) >= maxCounted {
		delete(c.byID, c.order[0])
		c.order = c.order[1:]
	}
	n := &Count{}
	c.byID[id] = n
	c.order = append(c.order, id)
	return n
}

func (c *counts) snapshot() Counts {
	s := Counts{Total: c.total, Requests: make(map[string]Count, len(c.byID))}
	for id, n := range maps.All(c.byID) {
		s.Requests[id] = *n
	}
	return s
}
