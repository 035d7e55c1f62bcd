package audit

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/poison"
)

// Part is a part of prompts, or a request, that targets ended on.
type Part struct {
	// Kind is "part", "caller-part" or "request". Organisation is the caller of a
	// "caller-part", and empty for the others.
	Kind, Service, Organisation string
	// ID names the part, or is the identity of the request.
	ID string
	// Inside is set for a part that is blamed for ends inside answers.
	Inside bool `json:",omitempty"`
	// Ended names the runs of targets that ended under it, since it was last answered.
	Ended []string
	// Until is the end of the quarantine. It is nil if there was none since then.
	Until *time.Time `json:",omitempty"`
	// Quarantined is set if the part is in quarantine now.
	Quarantined bool
	// Terms is the number of quarantines since then, and Cleared how often the part was
	// answered or released before.
	Terms   int
	Cleared int64
}

// describe returns the fields that name a subject.
func describe(s poison.Subject) Part {
	switch s := s.(type) {
	case poison.Part:
		return Part{Kind: "part", Service: s.Service, ID: s.ID, Inside: s.Inside}
	case poison.CallerPart:
		return Part{Kind: "caller-part", Service: s.Service, Organisation: s.Caller, ID: s.ID, Inside: s.Inside}
	case poison.Exact:
		return Part{Kind: "request", Service: s.Service, ID: s.ID}
	}
	return Part{}
}

// Parts returns the parts of prompts and the requests that are suspected or in quarantine, in the order of
// their keys. It skips invalid records.
func Parts(ctx context.Context, s keyed.Store, p keyed.Partition, now time.Time) ([]Part, error) {
	page, err := keyed.Snapshot(ctx, s, p)
	if err != nil {
		return nil, fmt.Errorf("read the parts of prompts: %w", err)
	}
	var list []Part
	for _, e := range page.Entries {
		subject, keyErr := poison.ParseKey(e.Key)
		record, err := poison.Decode(e.Value)
		if errors.Join(keyErr, err) != nil || len(record.Ended) == 0 {
			continue
		}
		shown := describe(subject)
		shown.Ended, shown.Quarantined, shown.Terms, shown.Cleared = record.Ended, record.Quarantined(now), record.Terms, record.Round
		if record.Until > 0 {
			until := time.UnixMilli(record.Until).UTC()
			shown.Until = &until
		}
		list = append(list, shown)
	}
	return list, nil
}

// ReleasePart ends the quarantines of a part of prompts, or of a request, at all instances
// that reach the store. id is that of the part, for all callers, or the request's identity. It
// returns ErrNotFound if no record of it is in the store.
func ReleasePart(ctx context.Context, s keyed.Store, p keyed.Partition, service, id string) error {
	page, err := keyed.Snapshot(ctx, s, p)
	if err != nil {
		return fmt.Errorf("read the parts of prompts: %w", err)
	}
	var released []keyed.Entry
	for _, e := range page.Entries {
		subject, err := poison.ParseKey(e.Key)
		if part := describe(subject); err != nil || part.Service != service || part.ID != id || e.Value == nil {
			continue
		}
		record, err := poison.Decode(e.Value)
		if err != nil {
			return err
		}
		if record.Round == math.MaxInt64 {
			return fmt.Errorf("%w: round %d can't be raised", poison.ErrRecord, record.Round)
		}
		released = append(released, keyed.Entry{Key: e.Key, Value: record.Cleared().Encode()})
	}
	if len(released) == 0 {
		return fmt.Errorf("%w: part or request %q of service %q", ErrNotFound, id, service)
	}
	if err := s.Append(ctx, p, released); err != nil {
		return fmt.Errorf("release the part: %w", err)
	}
	return nil
}
