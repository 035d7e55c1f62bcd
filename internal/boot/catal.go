package boot

import (
	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
)

// catalogue implements entry.Catalogue with the state of the catalogue stream.
type catalogue struct {
	state    *catal.State
	follower *fold.Follower
}

// Authenticate returns the account that the key belongs to, and whether the key
// is known.
func (c *catalogue) Authenticate(key string) (entry.Account, bool) {
	b, ok := c.state.Authenticate(key)
	if !ok {
		return entry.Account{}, false
	}
	return entry.Account{
		Organisation:  b.Owner,
		Budget:        b.Name,
		Class:         b.Class.Priority(),
		MaxTokens:     b.Limits.MaxTokens,
		MaxConcurrent: int(b.Limits.MaxConcurrent),
	}, true
}

// Service returns a service entry, and whether it exists.
func (c *catalogue) Service(name string) (entry.Service, bool) {
	s, ok := c.state.ServiceEntry(name)
	if !ok {
		return entry.Service{}, false
	}
	return entry.Service{
		Name:                s.Name,
		Kind:                entry.Kind(s.Kind),
		Price:               s.Price,
		PromptBytesPerToken: s.PromptBytesPerToken,
		MaxOutput:           s.MaxOutput,
		DefaultOutput:       s.DefaultOutput,
		Once:                s.Once,
		AllowUnkeyed:        s.AllowUnkeyed,
	}, true
}

// Offset returns the offset up to which this instance has read the catalogue
// stream.
func (c *catalogue) Offset() uint64 { return uint64(c.follower.Offset()) }
