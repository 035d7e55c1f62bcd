package side

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// naiveEvents is a reference parser that splits the whole input at once.
func naiveEvents(input string) []string {
	var out []string
	lines := strings.Split(input, "\n")
	lines = lines[:len(lines)-1] // a line without an end is not a line
	var data []string
	for _, line := range lines {
		line = strings.TrimSuffix(line, "\r")
		field, value, _ := strings.Cut(line, ":")
		switch {
		case line == "" && data != nil:
			out = append(out, strings.Join(data, "\n"))
			data = nil
		case field == "data":
			data = append(data, strings.TrimPrefix(value, " "))
		}
	}
	return out
}

func readEvents(e *events) ([]string, error) {
	var out []string
	for {
		data, err := e.next()
		if err != nil {
			return out, err
		}
		out = append(out, string(data))
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("data: {\"a\":1}\n\ndata: [DONE]\n\n")
	f.Add("event: x\r\ndata:a\r\ndata: b\r\n\r\n: comment\n\ndata\n\ndata: cut")
	f.Add("data: " + strings.Repeat("x", 9000) + "\n\n")
	f.Fuzz(func(t *testing.T, input string) {
		if len(input) > maxEvent {
			return
		}
		got, _ := readEvents(newEvents(strings.NewReader(input)))
		if diff := cmp.Diff(naiveEvents(input), got); diff != "" {
			t.Errorf("events of %q (-naive +got):\n%s", input, diff)
		}
		slow, _ := readEvents(newEvents(iotest.OneByteReader(strings.NewReader(input))))
		if diff := cmp.Diff(got, slow); diff != "" {
			t.Errorf("events of %q read byte by byte (-read at once +read byte by byte):\n%s", input, diff)
		}
	})
}

// TestEventsAreBounded guards against unbounded memory use for an engine that
// sends a very long line, or very many lines in one event.
func TestEventsAreBounded(t *testing.T) {
	for _, input := range []string{
		"data: " + strings.Repeat("x", 2*maxEvent) + "\n\n",
		strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", maxEvent/1000+1) + "\n",
	} {
		if _, err := readEvents(newEvents(strings.NewReader(input))); err != errEventTooLarge {
			t.Errorf("event of %d bytes: error %v, want %v", len(input), err, errEventTooLarge)
		}
	}
}

func FuzzEngineBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"MAX_TOKENS":9,"stream":false,"n":1}`))
	f.Add([]byte(`{"n":2}`))
	f.Add([]byte(`{"max_tokenſ":9}`))
	f.Add([]byte(`{"max_tokens":1,"max_tokens":2}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		out, err := engineBody(body, "", 17)
		if err != nil {
			return
		}
		var got map[string]json.RawMessage
		if err := json.Unmarshal(out, &got); err != nil {
			t.Fatal(err)
		}
		for key, value := range got {
			if strings.EqualFold(key, "max_tokens") && string(value) != "17" {
				t.Errorf("body %q keeps %q at %s, want 17", body, key, value)
			}
			if strings.EqualFold(key, "n") || strings.EqualFold(key, "max_completion_tokens") {
				t.Errorf("body %q keeps the key %q, want it dropped", body, key)
			}
		}
		if !bytes.Equal(got["stream"], []byte("true")) {
			t.Errorf("body %q has stream %s, want true", body, got["stream"])
		}
	})
}
