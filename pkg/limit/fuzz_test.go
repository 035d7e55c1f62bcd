package limit_test

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/limit"
)

// FuzzDecode guards against shared records that end the process, or name a rate that can't be.
func FuzzDecode(f *testing.F) {
	for _, value := range []string{`{}`, `{"seq":1e300}`, `{"rate":1e999}`, `{"rate":-1}`, `{"seq":9223372036854775807,"rate":1e300}`, strings.Repeat("[", 100_000)} {
		f.Add([]byte(value))
	}
	f.Add(limit.Record{Seq: 3, Rate: 2.5}.Encode())
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := limit.Decode(value)
		if err != nil && !errors.Is(err, limit.ErrRecord) {
			t.Errorf("error is %v, want ErrRecord", err)
		}
		if r.Seq < 0 || r.Rate < 0 || math.IsNaN(r.Rate) || math.IsInf(r.Rate, 0) {
			t.Errorf("record is %+v, want values in their range", r)
		}
	})
}
