package tally_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/check"
	"github.com/beryllanding/beryllanding/internal/tally"
)

// read counts the lines of a text by a dimension.
func read(t *testing.T, text string, c *tally.Count) (broken int) {
	t.Helper()
	r := tally.Reader{Source: strings.NewReader(text), File: "edge-2.log"}
	if err := r.Each(func(l tally.Line, _ []byte) { c.Add(l) }); err != nil {
		t.Fatal(err)
	}
	return r.Broken
}

const lines = `  2.5 edge-1 {"time":"2026-01-01T00:00:02.500Z","msg":"request ended","request-id":"a","outcome":"answered","status":200,"took-ms":700,"route":"r1","service":"s","organisation":"o1","targets":["t1","t2"],"first-ms":120,"used":900}
{"time":"2026-01-01T00:00:03.000Z","msg":"request ended","request-id":"b","outcome":"denied","status":402,"took-ms":1,"route":"r1","organisation":"o1","reason":"budget \"o1\" does not cover 9123 tokens"}
{"time":"2026-01-01T00:00:03.100Z","msg":"request ended","request-id":"c","outcome":"denied","status":402,"took-ms":1,"route":"r2","organisation":"o2","reason":"budget \"o2\" does not cover 17 tokens"}
{"time":"2026-01-01T00:00:03.200Z","msg":"request ended","request-id":"d","outcome":"denied","status":503,"took-ms":1,"route":"r2","organisation":"o2","reason":"no target takes work"}
{"time":"2026-01-01T00:00:03.300Z","msg":"request ended","request-id":"e","outcome":"cut","status":200,"took-ms":5,"route":"r2","organisation":"o2","targets":["t1"]}
{"time":"2026-01-01T00:00:03.400Z","msg":"request ended","request-id":"f","outcome":"target-failed","status":500,"took-ms":5,"route":"r2","targets":["t1"]}
{"time":"2026-01-01T00:00:03.500Z","msg":"request ended","request-id":"g","outcome":"caller-gone","status":0,"took-ms":5,"route":"r2"}
{"time":"2026-01-01T00:00:03.600Z","msg":"attempt ended","request-id":"f","outcome":"failed","target":"t1"}
panic: not a line of the log
{"time":"2026-01-01T00:00:03.700Z","msg":"request ended","request-id":"h","out`

// TestTables checks the table of each dimension. Cut lines are counted and skipped.
func TestTables(t *testing.T) {
	var out bytes.Buffer
	for _, by := range []tally.Dimension{tally.ByReason, tally.ByRoute, tally.ByOrganisation, tally.ByInstance, tally.ByTarget, tally.ByTime} {
		c := tally.Count{By: by}
		if broken := read(t, lines, &c); broken != 1 {
			t.Errorf("%s: %d lines are broken, want 1", by, broken)
		}
		w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
		tally.WriteText(w, by, c.Rows())
		_ = w.Flush() // Writing to a buffer doesn't fail.
		out.WriteByte('\n')
	}
	check.Golden(t, "tables.txt", out.String())
	if err := (&tally.Count{By: "colour"}).Valid(); !errors.Is(err, tally.ErrDimension) {
		t.Errorf("unknown dimension: got error %v, want %v", err, tally.ErrDimension)
	}
}

// TestBoundedRows guards against a table that grows with the logs, and against requests that are
// lost from its sum: keys beyond the bound share a row.
func TestBoundedRows(t *testing.T) {
	c := tally.Count{By: tally.ByOrganisation}
	const n = 10_000
	for i := range n {
		c.Add(tally.Line{Message: "request ended", Organisation: fmt.Sprint("o", i), Outcome: "answered"})
	}
	sum := 0
	for _, r := range c.Rows() {
		sum += r.Requests
	}
	if rows := len(c.Rows()); rows > 4097 || sum != n {
		t.Errorf("%d rows with %d requests, want at most 4097 rows with %d", rows, sum, n)
	}
}

// TestLongLine guards against a line without an end that takes all memory: it is skipped, and the
// next one is read.
func TestLongLine(t *testing.T) {
	c := tally.Count{By: tally.ByRoute}
	text := `{"msg":"` + strings.Repeat("x", 5<<20) + "\"}\n" + `{"msg":"request ended","route":"r","outcome":"answered"}`
	if broken := read(t, text, &c); broken != 1 || len(c.Rows()) != 1 {
		t.Errorf("%d lines are broken and %d rows, want one of each", broken, len(c.Rows()))
	}
}

// TestPicture checks that a picture is written, also of an empty table.
func TestPicture(t *testing.T) {
	c := tally.Count{By: tally.ByTime, Every: 100 * time.Millisecond}
	read(t, lines, &c)
	for name, rows := range map[string][]tally.Row{"full.png": c.Rows(), "empty.svg": nil} {
		file := filepath.Join(t.TempDir(), name)
		if err := tally.Picture(file, rows); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v, want a picture", name, err)
		}
	}
}
