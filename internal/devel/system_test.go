package devel

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestSmoke guards against a development system that does not start, answers or bills
// wrongly, or does not return unused tokens when it stops.
func TestSmoke(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s, err := Start(ctx, Options{})
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := s.Smoke(ctx, &out); err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
	if err := s.Stop(ctx); err != nil {
		t.Errorf("stop: %v", err)
	}
	b, err := s.Ledger(ctx, Accounts[0].Budget)
	if err != nil {
		t.Fatal(err)
	}
	if b.Granted != b.Billed {
		t.Errorf("after a planned stop: got %d tokens granted and %d billed, want both equal", b.Granted, b.Billed)
	}
}
