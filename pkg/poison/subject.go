package poison

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// Subject is what the end of a target may be blamed on: a Part, a CallerPart or an Exact.
// Subjects can be compared.
type Subject interface {
	// Key returns the key under which the subject's record is shared.
	Key() string
	subject()
}

// Part is a part of the prompts of a service, whoever sends them. It is blamed once different
// requests of more than one caller ended targets, so that no caller shuts out others.
type Part struct {
	Service, ID string
	// Inside is set if the part is blamed for ends inside answers, and not for those at
	// their beginning.
	Inside bool
}

// CallerPart is a part of the prompts that one caller sends to a service. It is blamed once
// different requests of the caller ended targets.
type CallerPart struct {
	Service, Caller, ID string
	// Inside is as in Part.
	Inside bool
}

// Exact is a request that one caller may send again and again, with or without a prompt. ID
// identifies it together with its caller; see Request.
type Exact struct{ Service, ID string }

func (Part) subject()       {}
func (CallerPart) subject() {}
func (Exact) subject()      {}

// Prefixes of the keys of records.
const (
	partPrefix   = "part/"
	callerPrefix = "caller-part/"
	exactPrefix  = "request/"
	// insideMark is the last component of the key of a subject with Inside.
	insideMark = "inside"
)

// Key returns "part/SERVICE/ID" or "part/SERVICE/ID/inside", with escaped components.
func (p Part) Key() string { return joinKey(partPrefix, p.Inside, p.Service, p.ID) }

// Key returns "caller-part/SERVICE/CALLER/ID", or that with "/inside", with escaped
// components.
func (p CallerPart) Key() string {
	return joinKey(callerPrefix, p.Inside, p.Service, p.Caller, p.ID)
}

// Key returns "request/SERVICE/ID", with escaped components.
func (e Exact) Key() string { return joinKey(exactPrefix, false, e.Service, e.ID) }

func joinKey(prefix string, inside bool, parts ...string) string {
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	if inside {
		parts = append(parts, insideMark)
	}
	return prefix + strings.Join(parts, "/")
}

// IsKey reports whether a key is that of a subject's record, valid or not.
func IsKey(key string) bool {
	return strings.HasPrefix(key, partPrefix) || strings.HasPrefix(key, callerPrefix) || strings.HasPrefix(key, exactPrefix)
}

// ParseKey returns the subject that a key names. The error is ErrRecord.
func ParseKey(key string) (Subject, error) {
	prefix, rest, _ := strings.Cut(key, "/")
	parts := strings.Split(rest, "/")
	for i := range parts {
		text, err := url.PathUnescape(parts[i])
		if err != nil {
			return nil, errors.Join(fmt.Errorf("%w: key %q", ErrRecord, key), err)
		}
		parts[i] = text
	}
	inside := false
	var s Subject
	want := map[string]int{partPrefix: 2, callerPrefix: 3, exactPrefix: 2}[prefix+"/"]
	if len(parts) == want+1 && want > 0 && prefix+"/" != exactPrefix && parts[want] == insideMark {
		inside, parts = true, parts[:want]
	}
	if want == 0 || len(parts) != want || parts[want-1] == "" {
		return nil, fmt.Errorf("%w: key %q, want part/SERVICE/ID, caller-part/SERVICE/CALLER/ID or request/SERVICE/ID", ErrRecord, key)
	}
	switch prefix + "/" {
	case partPrefix:
		s = Part{parts[0], parts[1], inside}
	case callerPrefix:
		s = CallerPart{parts[0], parts[1], parts[2], inside}
	default:
		s = Exact{parts[0], parts[1]}
	}
	return s, nil
}

// Service returns the service of a subject.
func Service(s Subject) string {
	switch s := s.(type) {
	case Part:
		return s.Service
	case CallerPart:
		return s.Service
	case Exact:
		return s.Service
	}
	return ""
}

// Describe returns what a subject is, for people.
func Describe(s Subject) string {
	switch s := s.(type) {
	case Part:
		return fmt.Sprintf("part %q of the prompt", s.ID)
	case CallerPart:
		return fmt.Sprintf("part %q of the caller's prompt", s.ID)
	case Exact:
		return fmt.Sprintf("request %q of the caller", s.ID)
	}
	return "nothing"
}

// proof is what brings a subject into quarantine: numbers of ends, of different requests
// under which targets ended, and of callers that sent them.
type proof struct{ ends, requests, callers int }

// needs returns the proof that a subject needs. Streams of all kinds break off inside their
// answers when a target ends for a reason of its own, so more ends are needed there.
func needs(s Subject) proof {
	switch s := s.(type) {
	case Part:
		return proof{partEnds(s.Inside), 3, 2}
	case CallerPart:
		return proof{partEnds(s.Inside), 3, 1}
	}
	return proof{minEnded, 0, 0}
}

func partEnds(inside bool) int {
	if inside {
		return minEndedInside
	}
	return minEnded
}

// meets reports whether a record has what the proof needs.
func (r Record) meets(p proof) bool {
	callers := make(map[string]bool)
	for _, w := range r.Witnesses {
		caller, _, _ := strings.Cut(w, ".")
		callers[caller] = true
	}
	return r.Apart >= p.ends && len(r.Ended) >= p.ends && len(r.Witnesses) >= p.requests && len(callers) >= p.callers
}

// Request is a request as far as it may be blamed.
type Request struct {
	Service, Caller string
	// Parts are the ids of the parts of its prompt that others may share. Own is the id of
	// the last part, which other requests of the same session may have; it may be empty.
	Parts []string
	Own   string
	// Near is a short hash that equal requests have in common. It is cheaper than Identity,
	// which is needed only if a request with the same Near is suspected.
	Near string
	// Identity returns the ID of its Exact, which begins with Near. Equal requests of one
	// caller have the same, and no others.
	Identity func() string
}

// accused is a subject, and what distinguishes this request from others that have the
// subject in common.
type accused struct {
	Subject
	witness string
}

// subjects returns what an end under the request may be blamed on. inside is set if the
// target ended inside the answer.
func (r Request) subjects(inside bool) []accused {
	id := r.Identity()
	witness := hash(r.Caller) + "." + hash(id)
	all := []accused{{Exact{r.Service, id}, ""}}
	for _, part := range r.parts(inside) {
		all = append(all, accused{Part{r.Service, part, inside}, witness}, accused{CallerPart{r.Service, r.Caller, part, inside}, witness})
	}
	return slices.DeleteFunc(all, func(a accused) bool { return len(a.Key()) > maxKey })
}

// parts returns the parts that an end may be blamed on, or that an answer clears. Inside
// answers, the own part stands for nothing that the Exact doesn't.
func (r Request) parts(inside bool) []string {
	all := slices.Clone(r.Parts)
	if !inside {
		all = append(all, r.Own)
	}
	return slices.DeleteFunc(all, func(id string) bool { return id == "" || len(id) > maxPartID })
}
