package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/cmds"
)

// TestReference checks that docs/COMMANDS.md was generated from the command
// tree.
func TestReference(t *testing.T) {
	var page bytes.Buffer
	if err := cmds.WriteReference(&page, extra); err != nil {
		t.Fatal(err)
	}
	committed, err := os.ReadFile(filepath.Join("..", "..", "docs", "COMMANDS.md"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(committed), page.String()); diff != "" {
		t.Errorf("docs/COMMANDS.md is out of date, run \"go run ./cmd/beryl docs\" (-committed +generated):\n%s", diff)
	}
}
