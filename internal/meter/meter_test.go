package meter

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

func metricsText(t *testing.T, m *Meter) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Code != http.StatusOK {
		t.Fatalf("got status %d, want 200: %s", w.Code, w.Body)
	}
	return w.Body.String()
}

// newFilledMeter returns a meter that has recorded every metric.
func newFilledMeter(t *testing.T) *Meter {
	t.Helper()
	m, err := New(func() State {
		return State{
			Budgets: []Budget{{"o", 500, 70}}, Targets: map[string]int{"s": 3}, Leaving: map[string]int{"s": 1}, Resting: map[string]int{"s": 0}, Limited: map[string]int{"s": 1},
			Cold: map[string]int{"s": 1}, Evacuated: map[string]int{"s": 2},
			Suspected: map[string]int{"s": 2}, Quarantined: map[string]int{"s": 1}, TableVersion: 7,
			TableAge: 250 * time.Millisecond, LogEpoch: 3, Open: 2, LogDropped: 4,
			RunDelay: 80 * time.Millisecond, LinkUse: 0.5, Refused: 0.25,
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	m.Request("s", "answered", 200, 20*time.Millisecond)
	m.Request("s", "answered", 200, 40*time.Millisecond)
	m.Request("", "denied", 404, time.Millisecond)
	m.Cut("silence")
	m.FirstByte("s", 10*time.Millisecond)
	m.Reserve(time.Millisecond)
	m.Attempt("s", "may-have-run")
	m.Retry("s", false)
	m.Standby("s", "took-over")
	m.Notice("s", "rest")
	m.TargetEnded("s")
	m.Quarantine("s", "begun")
	m.QuarantineRefusal("s")
	m.LimitedAttempt("s")
	m.ColdAttempt("s")
	m.OverloadRefusal()
	m.OriginsTold(2, true)
	m.OriginAsked("s", "peer")
	m.WrongResponse()
	m.Connection()
	return m
}

// TestText compares the served text with the golden file.
func TestText(t *testing.T) { check.Golden(t, "metrics.txt", metricsText(t, newFilledMeter(t))) }

// TestReference checks that docs/METRICS.md matches the generated page, and that the
// page lists exactly the metrics that are served.
func TestReference(t *testing.T) {
	var want strings.Builder
	if err := WriteReference(&want); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "METRICS.md"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(page), want.String()); diff != "" {
		t.Errorf("docs/METRICS.md is out of date, run \"go run ./cmd/beryl docs\" (-committed +generated):\n%s", diff)
	}
	served := make(map[string]string)
	for _, m := range regexp.MustCompile(`(?m)^# TYPE (\S+) (\S+)$`).FindAllStringSubmatch(metricsText(t, newFilledMeter(t)), -1) {
		served[m[1]] = m[2]
	}
	listed := make(map[string]string)
	for _, d := range definitions {
		listed[d.prometheusName()] = d.Kind
	}
	if diff := cmp.Diff(listed, served); diff != "" {
		t.Errorf("metrics (-listed +served):\n%s", diff)
	}
}

// TestZero: a zero Meter accepts calls, records nothing and serves 404.
func TestZero(t *testing.T) {
	var m Meter
	m.Request("s", "answered", 200, time.Second)
	m.WrongResponse()
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Code != http.StatusNotFound {
		t.Errorf("got status %d, want 404", w.Code)
	}
}
