package logsvc

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrMalformed reports a response that violates the protocol.
var ErrMalformed = errors.New("response of the log service is malformed")

// decodePage decodes and checks the response to a read of up to limit records from
// the given offset on.
func decodePage(body io.Reader, from Offset, limit int) (Page, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxResponse+1))
	if err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(raw) > maxResponse {
		return Page{}, fmt.Errorf("%w: page exceeds the limit of %d bytes", ErrMalformed, maxResponse)
	}
	var page Page
	if err := json.Unmarshal(raw, &page); err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := page.check(from, limit); err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return page, nil
}

// check returns an error if the page is not a valid response to a read of up to limit
// records from the given offset on.
func (p Page) check(from Offset, limit int) error {
	if p.First < 1 || p.First > p.Next {
		return fmt.Errorf("first offset %d and next offset %d are out of order", p.First, p.Next)
	}
	if len(p.Records) > max(limit, 0) {
		return fmt.Errorf("page has %d records, but at most %d were requested", len(p.Records), limit)
	}
	start := max(p.First, from)
	if len(p.Records) == 0 && start < p.Next && limit > 0 {
		return fmt.Errorf("page has no records from offset %d on, although the next offset is %d", start, p.Next)
	}
	for i, rec := range p.Records {
		want := start + Offset(i)
		if rec.Offset != want || want >= p.Next {
			return fmt.Errorf("record %d has offset %d, want offset %d, which must be below the next offset %d", i, rec.Offset, want, p.Next)
		}
		if len(rec.Data) > MaxRecord {
			return fmt.Errorf("record at offset %d has %d bytes, exceeding the limit of %d", rec.Offset, len(rec.Data), MaxRecord)
		}
	}
	return nil
}
