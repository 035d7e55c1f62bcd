package poison_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/poison"
)

// FuzzDecode guards against shared records that end the process, or that grow when they are
// merged and encoded again.
func FuzzDecode(f *testing.F) {
	for _, value := range []string{`{}`, `{"until":1e300}`, `{"ended":[""]}`, `{"terms":-1}`, `null`, strings.Repeat("[", 100_000)} {
		f.Add([]byte(value))
	}
	f.Add(poison.Record{Ended: []string{"t7/0"}, Until: 5, Terms: 1}.Encode())
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := poison.Decode(value)
		if err != nil {
			if !errors.Is(err, poison.ErrRecord) {
				t.Errorf("error is %v, want ErrRecord", err)
			}
			return
		}
		again, err := poison.Decode(r.Encode())
		if err != nil || !again.Equal(r) {
			t.Errorf("decoded again: %+v, error %v; want %+v", again, err, r)
		}
	})
}
