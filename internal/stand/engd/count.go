package engd

import "maps"

// maxCounted bounds the request ids that are counted separately. The totals count all
// requests.
const maxCounted = 1 << 16

// Count counts the work of the engine for one request id or in total.
type Count struct {
	// Runs counts the runs that got a slot.
	Runs int `json:"runs"`
	// PromptTokens and Tokens count the prompt tokens and the generated tokens.
	PromptTokens int `json:"prompt-tokens"`
	Tokens       int `json:"tokens"`
	Cancels      int `json:"cancels"`
}

// Counts counts the work of the engine.
type Counts struct {
	Total Count `json:"total"`
	// Requests holds the counts of the newest request ids.
	Requests map[string]Count `json:"requests"`
}

// counts collects Counts. The zero value is empty.
type counts struct {
	total Count
	byID  map[string]*Count
	// order holds the ids of byID, oldest first.
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

// of returns the count of an id. If the id is new and the bound is reached, it drops
// the oldest id.
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
