package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/beryllanding/beryllanding/internal/config"
)

func TestLayers(t *testing.T) {
	var out bytes.Buffer
	set, err := New(&out, config.Log{Level: "warn", Format: "json", Layers: config.Layers{"entry": "debug"}})
	if err != nil {
		t.Fatal(err)
	}
	set.Layer("entry").Debug("shown", FieldRequest, "kowhai/1")
	set.Layer("budget").Info("hidden")
	set.Layer("budget").Warn("also shown")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("got %d log lines, want 2:\n%s", len(lines), &out)
	}
	var line map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &line); err != nil {
		t.Fatal(err)
	}
	if line["prefix"] != "entry" || line["msg"] != "shown" || line[FieldRequest] != "kowhai/1" {
		t.Errorf("got line %v, want prefix entry, msg shown and request-id kowhai/1", line)
	}
}

func TestBadSettings(t *testing.T) {
	for _, settings := range []config.Log{{Format: "xml"}, {Level: "loud"}, {Layers: config.Layers{"side": "loud"}}} {
		if _, err := New(new(bytes.Buffer), settings); err == nil {
			t.Errorf("settings %+v were accepted, want an error", settings)
		}
	}
	new(Set).Layer("side").Error("a zero set discards")
	defer func() {
		if recover() == nil {
			t.Error("an unknown layer has a logger, want a panic")
		}
	}()
	new(Set).Layer("disk")
}

func TestRedact(t *testing.T) {
	for text, want := range map[string]string{
		"nothing to hide":                          "nothing to hide",
		"key beryl-key-ABC, again BERYL-KEY-DEF":   "key beryl-key-[redacted], again BERYL-KEY-[redacted]",
		`header "Bearer tok en" of beryl-key-`:     `header "Bearer [redacted] en" of beryl-key-`,
		"bearer beryl-key-ABC":                     "bearer [redacted]",
		"/path?key=beryl-key-ABC&x=1 beryl-router": "/path?key=beryl-key-[redacted]&x=1 beryl-router",
	} {
		if got := Redact(text); got != want {
			t.Errorf("text %q: got %q, want %q", text, got, want)
		}
	}
	if got := Header("authorization", "Basic abc"); got != redacted {
		t.Errorf("Authorization header: got %q, want %q", got, redacted)
	}
	if got := Header("Accept", "text/plain"); got != "text/plain" {
		t.Errorf("Accept header: got %q, want it unchanged", got)
	}
}
