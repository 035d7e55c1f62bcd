package logsvc

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
)

// FuzzClientPage decodes arbitrary responses to reads. An accepted page must have the
// properties that Page documents. Any other response must fail with ErrMalformed.
func FuzzClientPage(f *testing.F) {
	for _, seed := range []string{
		`{"first":1,"next":1,"records":[]}`,
		`{"first":3,"next":5,"records":[{"offset":3,"data":"YQ=="},{"offset":4,"data":""}]}`,
		`{"first":1,"next":3,"records":[{"offset":2,"data":"YQ=="}]}`,
		`{"first":3,"next":2,"records":[]}`,
		`{"first":0,"next":0}`,
		`{"first":1,"next":4,"records":[{"offset":1},{"offset":3}]}`,
		`{"first":1,"next":18446744073709551615,"records":[{"offset":18446744073709551615}]}`,
		`{"first":1,"next":2,"records":[{"offset":1,"data":"!"}]}`,
		`{"first":1,"next":2,"records":[{"offset":-1}]}`,
		`{"first":1,"next":9,"records":null}`,
		`[]`, `{`, ``,
	} {
		f.Add([]byte(seed), uint64(1), 2)
		f.Add([]byte(seed), uint64(4), 1)
		f.Add([]byte(seed), ^uint64(0), 0)
	}
	f.Fuzz(func(t *testing.T, raw []byte, from uint64, limit int) {
		page, err := decodePage(bytes.NewReader(raw), Offset(from), limit)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("error is %v, want ErrMalformed", err)
			}
			return
		}
		if page.First < 1 || page.Next < page.First || len(page.Records) > max(limit, 0) {
			t.Fatalf("accepted the page %s, want ErrMalformed", raw)
		}
		at := max(page.First, Offset(from))
		for _, rec := range page.Records {
			if rec.Offset != at || at >= page.Next || len(rec.Data) > MaxRecord {
				t.Fatalf("accepted the page %s, want ErrMalformed", raw)
			}
			at++
		}
		if _, err := json.Marshal(page); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMalformedPages decodes responses that violate the protocol.
func TestMalformedPages(t *testing.T) {
	for _, raw := range []string{
		`{"first":0,"next":1,"records":[]}`,
		`{"first":3,"next":2,"records":[]}`,
		`{"first":1,"next":9,"records":[]}`,
		`{"first":1,"next":9,"records":[{"offset":1,"data":""}]}`,
		`{"first":1,"next":9,"records":[{"offset":2,"data":""},{"offset":4,"data":""}]}`,
		`{"first":1,"next":3,"records":[{"offset":2,"data":""},{"offset":3,"data":""}]}`,
		`{"first":1,"next":9,"records":[{"offset":2},{"offset":3},{"offset":4},{"offset":5}]}`,
		`{"first":1,"next":9,"records":[{"offset":2,"data":"!"}]}`,
		`{"first":1,"next":9`,
	} {
		if _, err := decodePage(bytes.NewReader([]byte(raw)), 2, 3); !errors.Is(err, ErrMalformed) {
			t.Errorf("page %s: error is %v, want ErrMalformed", raw, err)
		}
	}
}
