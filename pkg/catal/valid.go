package catal

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// ErrInvalid is matched by every InvalidError.
var ErrInvalid = errors.New("catalogue entry is invalid")

const (
	// maxTokens bounds every number of tokens in an entry, so that sums of
	// reservations cannot overflow.
	maxTokens = 1_000_000_000_000
	// maxKeyHashes bounds the keys of one budget.
	maxKeyHashes = 64
	// maxListLen bounds the methods or paths of one service.
	maxListLen = 64
	// maxPathLen bounds a path prefix, in bytes.
	maxPathLen = 256
	// maxOwnerLen bounds the owner's name, in bytes.
	maxOwnerLen = 128
	// maxWeights bounds the weights of one service.
	maxWeights = 16
	// maxMaxLoads bounds Service.MaxLoads.
	maxMaxLoads = 1000
)

var (
	weightPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9@+_./-]{0,127}$`)
	rolePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9./-]{0,127}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// InvalidError lists all faults of an entry. errors.Is matches ErrInvalid.
type InvalidError struct {
	Name   string
	Faults []string
}

// Error lists the faults in one line.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("entry %q is invalid: %s", e.Name, strings.Join(e.Faults, "; "))
}

// Is matches ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }

// Validate checks the invariants of an entry that do not depend on other entries.
// The error is an *InvalidError that lists all faults.
func Validate(e Entry) error {
	var c checker
	switch e := e.(type) {
	case *Service:
		c.service(e)
	case *Budget:
		c.budget(e)
	default:
		c.fault("neither a service nor a budget is given")
		return &InvalidError{Faults: c.faults}
	}
	if len(c.faults) == 0 {
		return nil
	}
	return &InvalidError{Name: e.EntryName(), Faults: c.faults}
}

// checker collects the faults of an entry.
type checker struct{ faults []string }

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) service(s *Service) {
	c.common(s.Name, s.Owner, s.Class)
	switch s.Kind {
	case Model:
		c.model(s)
	case App:
		c.app(s)
	default:
		c.fault("kind is %q, expected %q or %q", s.Kind, Model, App)
	}
	c.methods(s.OnceMethods)
	c.paths(s.IdempotentPaths)
}

func (c *checker) model(s *Service) {
	c.inRange("prompt-bytes-per-token", s.PromptBytesPerToken, 1, maxTokens)
	c.inRange("max-output", s.MaxOutput, 1, maxTokens)
	c.inRange("default-output", s.DefaultOutput, 1, max(1, s.MaxOutput))
	c.unused("price", s.Price, s.Kind)
	c.weights(s)
}

func (c *checker) weights(s *Service) {
	c.length("weights", len(s.Weights), maxWeights)
	for i, w := range s.Weights {
		if !weightPattern.MatchString(w) {
			c.fault("weights has %q, expected a letter or digit, then up to 127 of these, '@', '+', '_', '.', '/' and '-'", w)
		}
		if slices.Contains(s.Weights[:i], w) {
			c.fault("weights has %q twice", w)
		}
	}
	if s.Role != "" && !rolePattern.MatchString(s.Role) {
		c.fault("role is %q, expected a lower-case letter or digit, then up to 31 of these and '-'", s.Role)
	}
	c.inRange("max-loads", s.MaxLoads, 0, maxMaxLoads)
	if len(s.Weights) == 0 && (s.Role != "" || s.MaxLoads != 0) {
		c.fault("role is %q and max-loads is %d, but no weights are named", s.Role, s.MaxLoads)
	}
}

func (c *checker) app(s *Service) {
	c.inRange("price", s.Price, 0, maxTokens)
	c.unused("prompt-bytes-per-token", s.PromptBytesPerToken, s.Kind)
	c.unused("max-output", s.MaxOutput, s.Kind)
	c.unused("default-output", s.DefaultOutput, s.Kind)
	c.unused("max-loads", s.MaxLoads, s.Kind)
	if len(s.Weights) > 0 || s.Role != "" {
		c.fault("weights are %q and role is %q, but a service of kind %q has none", s.Weights, s.Role, s.Kind)
	}
}

func (c *checker) budget(b *Budget) {
	c.common(b.Name, b.Owner, b.Class)
	c.inRange("limits.max-tokens", b.Limits.MaxTokens, 0, maxTokens)
	c.inRange("limits.max-concurrent", b.Limits.MaxConcurrent, 0, maxTokens)
	c.keyHashes(b.KeyHashes)
}

func (c *checker) common(name, owner string, class Class) {
	if !ValidName(name) {
		c.fault("name is %q, expected a lower-case letter or digit, then up to 127 of a-z, 0-9, '.', '/' and '-'", name)
	}
	if strings.TrimSpace(owner) == "" || len(owner) > maxOwnerLen {
		c.fault("owner is %q, expected 1 to %d bytes", owner, maxOwnerLen)
	}
	switch class {
	case Interactive, Standard, Batch:
	default:
		c.fault("class is %q, expected %q, %q or %q", class, Interactive, Standard, Batch)
	}
}

// ValidName reports whether an entry may have the name.
func ValidName(name string) bool { return namePattern.MatchString(name) }

func (c *checker) inRange(field string, v, low, high int64) {
	if v < low || v > high {
		c.fault("%s is %d, expected %d to %d", field, v, low, high)
	}
}

func (c *checker) unused(field string, v int64, kind Kind) {
	if v != 0 {
		c.fault("%s is %d, but a service of kind %q has none", field, v, kind)
	}
}

func (c *checker) methods(list []string) {
	c.length("once-methods", len(list), maxListLen)
	for _, m := range list {
		if !methodPattern.MatchString(m) {
			c.fault("once-methods has %q, expected an HTTP method in capitals", m)
		}
	}
}

func (c *checker) paths(list []string) {
	c.length("idempotent-paths", len(list), maxListLen)
	for _, p := range list {
		if !plainPath(p) || strings.ContainsAny(p, "?#") || len(p) > maxPathLen {
			c.fault("idempotent-paths has %q, expected a path of up to %d bytes that starts with '/', "+
				"without query, escapes, dot segments or empty segments", p, maxPathLen)
		}
	}
}

func (c *checker) keyHashes(list []KeyHash) {
	c.length("key-hashes", len(list), maxKeyHashes)
	seen := make(map[KeyHash]bool, len(list))
	for _, h := range list {
		if seen[h] {
			c.fault("key-hashes has %s twice", h)
		}
		seen[h] = true
	}
}

func (c *checker) length(field string, n, limit int) {
	if n > limit {
		c.fault("%s has %d items, expected up to %d", field, n, limit)
	}
}
