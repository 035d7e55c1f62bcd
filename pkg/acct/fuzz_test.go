package acct

import (
	"errors"
	"math"
	"testing"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// FuzzAccount guards against records that end the process, and against amounts whose sum over
// all accounts overflows and shows used tokens as free.
func FuzzAccount(f *testing.F) {
	for _, lines := range [][]Line{
		nil,
		{{Budget: "o", Total: 10, Granted: 4, Returned: 1}},
		{{Budget: "o", Spent: math.MaxInt64, Granted: math.MaxInt64}},
		{{Budget: "o", Total: math.MaxInt64, PerSecond: math.MaxInt64}},
		{{Budget: "o", PerSecond: math.MinInt64}},
	} {
		data, err := (&Account{Holder: "a~1", Epoch: 1, Lines: lines, Known: []Known{{Key: "b", Lines: lines}}}).Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodeAccount(data)
		if err != nil {
			if !errors.Is(err, ErrRecord) {
				t.Errorf("error is %v, want ErrRecord", err)
			}
			return
		}
		lists := [][]Line{a.Lines}
		for _, k := range a.Known {
			lists = append(lists, k.Lines)
		}
		for _, lines := range lists {
			for _, l := range lines {
				for _, n := range []ledger.Tokens{l.Spent, l.Lost, l.Granted, l.Returned, l.Pending, l.PerSecond} {
					if n < 0 || n > ledger.MaxTokens {
						t.Errorf("amount %d of line %+v is out of range", n, l)
					}
				}
			}
		}
	})
}
