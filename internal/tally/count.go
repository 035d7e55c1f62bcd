package tally

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Dimension is what requests are counted by.
type Dimension string

// The dimensions.
const (
	ByReason       Dimension = "reason"
	ByRoute        Dimension = "route"
	ByOrganisation Dimension = "organisation"
	ByInstance     Dimension = "instance"
	ByTarget       Dimension = "target"
	ByTime         Dimension = "time"
)

// ErrDimension reports an unknown dimension.
var ErrDimension = errors.New("unknown dimension; use reason, route, organisation, instance, target or time")

const (
	// maxRows bounds the rows of a table. Requests of further keys count in the row otherKey.
	maxRows  = 4096
	otherKey = "(others)"
	// noKey is the key of requests to which the dimension does not apply.
	noKey = "(none)"
	// longestMs bounds the times in the histograms, in ms.
	longestMs = 3_600_000
)

// Row counts the requests of one key.
type Row struct {
	Key string
	// Requests is the sum of the counts by outcome that follow. They are the outcomes of the
	// instances' log lines.
	Requests, Answered, Denied, Failed, Cut, CallerGone int
	// Status402 and Status503 are the denied requests with these statuses.
	Status402, Status503 int
	// FirstMs50 and FirstMs90 are times to the first byte of answered requests, in ms, which half
	// and nine in ten don't exceed.
	FirstMs50, FirstMs90 int64
	// Used is in tokens.
	Used int64

	first *hdrhistogram.Histogram
}

// Count is a table of requests by one dimension. By is set before use; the zero value of the
// others is ready.
type Count struct {
	By Dimension
	// Every is the length of a row of ByTime; 0 means a second.
	Every time.Duration

	rows map[string]*Row
}

// Valid returns ErrDimension if By is unknown.
func (c *Count) Valid() error {
	switch c.By {
	case ByReason, ByRoute, ByOrganisation, ByInstance, ByTarget, ByTime:
		return nil
	}
	return fmt.Errorf("%w: %q", ErrDimension, c.By)
}

// Add counts the line if it ends a request.
func (c *Count) Add(l Line) {
	if l.Message != ended {
		return
	}
	r := c.row(cmp.Or(c.key(l), noKey))
	r.Requests++
	r.Used += l.Used
	switch l.Outcome {
	case "answered":
		r.Answered++
		if l.FirstMs > 0 {
			_ = r.first.RecordValue(min(longestMs, int64(l.FirstMs))) // Within the histogram's bounds.
		}
	case "denied":
		r.Denied++
		switch l.Status {
		case 402:
			r.Status402++
		case 503:
			r.Status503++
		}
	case "target-failed":
		r.Failed++
	case "cut":
		r.Cut++
	default:
		r.CallerGone++
	}
}

// row returns the row of a key, or that of the others if there are too many.
func (c *Count) row(key string) *Row {
	if c.rows == nil {
		c.rows = make(map[string]*Row)
	}
	r := c.rows[key]
	if r == nil && len(c.rows) >= maxRows {
		key = otherKey
		r = c.rows[key]
	}
	if r == nil {
		r = &Row{Key: key, first: hdrhistogram.New(1, longestMs, 2)}
		c.rows[key] = r
	}
	return r
}

// varying matches what differs between requests that are refused for the same reason.
var varying = regexp.MustCompile(`"[^"]*"|[0-9]+(\.[0-9]+)?`)

// key returns the key of a request.
func (c *Count) key(l Line) string {
	switch c.By {
	case ByReason:
		if l.Reason == "" {
			return l.Outcome
		}
		return strconv.Itoa(l.Status) + " " + varying.ReplaceAllString(l.Reason, "_")
	case ByRoute:
		return l.Route
	case ByOrganisation:
		return l.Organisation
	case ByInstance:
		return l.Source
	case ByTarget:
		if n := len(l.Targets); n > 0 {
			return l.Targets[n-1]
		}
		return ""
	}
	return l.Began().UTC().Truncate(cmp.Or(c.Every, time.Second)).Format("2006-01-02T15:04:05.000Z")
}

// Rows returns the rows: those of ByTime in their order, others by the number of requests.
func (c *Count) Rows() []Row {
	rows := make([]Row, 0, len(c.rows))
	for _, r := range c.rows {
		r.FirstMs50, r.FirstMs90 = r.first.ValueAtQuantile(50), r.first.ValueAtQuantile(90)
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if c.By == ByTime {
			return cmp.Compare(a.Key, b.Key)
		}
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Key, b.Key))
	})
	return rows
}

// WriteText writes the rows as lines of tab-separated cells.
func WriteText(w io.Writer, by Dimension, rows []Row) {
	_, _ = fmt.Fprintf(w, "%s\trequests\tanswered\tdenied\t402\t503\tfailed\tcut\tcaller-gone\tfirst-ms-p50\tfirst-ms-p90\ttokens\n", by)
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Key, r.Requests, r.Answered, r.Denied,
			r.Status402, r.Status503, r.Failed, r.Cut, r.CallerGone, r.FirstMs50, r.FirstMs90, r.Used)
	}
}
