// Package trial names the mechanisms of an instance that can be switched off for experiments, to
// measure what each is worth. In service all are on.
package trial

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Mechanism is the name of a mechanism.
type Mechanism string

// The mechanisms.
const (
	Affinity     Mechanism = "affinity"
	ReadWeight   Mechanism = "read-weight"
	EventPace    Mechanism = "event-pace"
	Retries      Mechanism = "retries"
	Resting      Mechanism = "resting"
	ColdPace     Mechanism = "cold-pace"
	Quarantine   Mechanism = "quarantine"
	Refusals     Mechanism = "overload-refusals"
	EventGroups  Mechanism = "event-groups"
	Rotation     Mechanism = "rotation"
	Pledges      Mechanism = "pledges"
	Transfers    Mechanism = "transfers"
	Pacing       Mechanism = "pacing"
	UrgentTokens Mechanism = "urgent-tokens"
)

// Description says what a mechanism does.
type Description struct {
	Name Mechanism
	Does string
}

// All describes all mechanisms.
var All = []Description{
	{Affinity, "prefers targets that have a prompt's prefix in their cache"},
	{ReadWeight, "weighs reading a prefix again more while first tokens come early"},
	{EventPace, "avoids targets at which late events show that they read prompts"},
	{Retries, "sends requests to a further target after the first"},
	{Resting, "gives targets that ask for it a rest"},
	{ColdPace, "sends few requests to targets that are cold"},
	{Quarantine, "refuses requests and parts of prompts that crash targets"},
	{Refusals, "refuses a part of the requests while the instance is overloaded"},
	{EventGroups, "forwards events in groups while the instance is overloaded"},
	{Rotation, "leaves the rotation while the instance is overloaded"},
	{Pledges, "lets a successor release tokens of a killed process"},
	{Transfers, "asks other instances for tokens"},
	{Pacing, "releases a budget's rest slowly after a loss of machines"},
	{UrgentTokens, "keeps a budget's rest for urgent requests after a loss of machines"},
}

// ErrMechanism reports the name of no mechanism.
var ErrMechanism = errors.New("unknown mechanism")

// Off is a set of mechanisms that are switched off. The zero value is empty.
type Off map[Mechanism]bool

// Parse parses names that are separated by commas. The error is ErrMechanism.
func Parse(names string) (Off, error) {
	off := make(Off)
	for name := range strings.SplitSeq(names, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if m == "" {
			continue
		}
		if !slices.ContainsFunc(All, func(d Description) bool { return d.Name == m }) {
			return nil, fmt.Errorf("%w: %q", ErrMechanism, m)
		}
		off[m] = true
	}
	return off, nil
}
