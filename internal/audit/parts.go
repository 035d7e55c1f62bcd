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

// Part is a part of prompts that targets ended on.
type Part struct {
	poison.Part
	// Ended names the runs of targets that ended when they began to answer a prompt with
	// the part, since it was last answered.
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

// Parts returns the parts of prompts that are suspected or in quarantine, in the order of
// their keys. It skips invalid records.
func Parts(ctx context.Context, s keyed.Store, p keyed.Partition, now time.Time) ([]Part, error) {
	page, err := keyed.Snapshot(ctx, s, p)
	if err != nil {
		return nil, fmt.Errorf("read the parts of prompts: %w", err)
	}
	var list []Part
	for _, e := range page.Entries {
		part, keyErr := poison.ParseKey(e.Key)
		record, err := poison.Decode(e.Value)
		if errors.Join(keyErr, err) != nil || len(record.Ended) == 0 {
			continue
		}
		shown := Part{Part: part, Ended: record.Ended, Quarantined: record.Quarantined(now), Terms: record.Terms, Cleared: record.Round}
		if record.Until > 0 {
			until := time.UnixMilli(record.Until).UTC()
			shown.Until = &until
		}
		list = append(list, shown)
	}
	return list, nil
}

// ReleasePart ends the quarantine of a part at all instances that reach the store. It
// returns ErrNotFound if no record of the part is in the store.
func ReleasePart(ctx context.Context, s keyed.Store, p keyed.Partition, part poison.Part) error {
	page, err := keyed.Snapshot(ctx, s, p)
	if err != nil {
		return fmt.Errorf("read the parts of prompts: %w", err)
	}
	for _, e := range page.Entries {
		if e.Key != part.Key() || e.Value == nil {
			continue
		}
		record, err := poison.Decode(e.Value)
		if err != nil {
			return err
		}
		if record.Round == math.MaxInt64 {
			return fmt.Errorf("%w: round %d can't be raised", poison.ErrRecord, record.Round)
		}
		if err := s.Append(ctx, p, []keyed.Entry{{Key: e.Key, Value: record.Cleared().Encode()}}); err != nil {
			return fmt.Errorf("release the part: %w", err)
		}
		return nil
	}
	return fmt.Errorf("%w: part %q of service %q", ErrNotFound, part.ID, part.Service)
}
