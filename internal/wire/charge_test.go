package wire

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

func TestTakeCharges(t *testing.T) {
	charges := []ledger.Charge{{Holder: "a~1", Tokens: 3}, {Holder: "b~1"}, {Holder: "c~1", Tokens: 4}}
	for tokens, want := range map[ledger.Tokens][]ledger.Charge{
		0: nil,
		3: {{Holder: "a~1", Tokens: 3}},
		5: {{Holder: "a~1", Tokens: 3}, {Holder: "c~1", Tokens: 2}},
		9: {{Holder: "a~1", Tokens: 3}, {Holder: "c~1", Tokens: 4}},
	} {
		if diff := cmp.Diff(want, FirstCharges(charges, tokens)); diff != "" {
			t.Errorf("%d tokens (-want +got):\n%s", tokens, diff)
		}
	}
}
