package boot

import (
	"net/http"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/pkg/catal"
	"github.com/beryllanding/beryllanding/pkg/fold"
)

// catalogue is the catalogue as the entry instance asks it.
type catalogue struct {
	state    *catal.State
	follower *fold.Follower
}

// Authenticate returns the account that the key belongs to.
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

// Service returns a service entry.
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
		Once:                oncePaths(s),
		AllowUnkeyed:        s.AllowUnkeyed,
	}, true
}

// Offset returns the offset of the latest change that is in force here.
func (c *catalogue) Offset() uint64 { return uint64(c.follower.Offset()) }

// oncePaths returns the rules for the calls that run at most once.
func oncePaths(s *catal.Service) []entry.OncePath {
	methods := s.OnceMethods
	if len(methods) == 0 {
		methods = []string{http.MethodPost, http.MethodPatch}
	}
	paths := make([]entry.OncePath, 0, len(methods))
	for _, m := range methods {
		paths = append(paths, entry.OncePath{Method: m, Path: "/"})
	}
	return paths
}
