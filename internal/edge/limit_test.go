package edge

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/limit"
)

// aloneInFleet tells the instance that there is no other one.
func (w *testEnv) aloneInFleet() {
	w.engine.fleet.limits.self = "i"
	w.engine.fleet.join()
	w.engine.fleet.applyShared(keyed.Change{Full: true})
}

// limitedOK responds to requests and names a limit, unless it is empty.
func limitedOK(rate func() string) script {
	return func(a receivedRequest, w io.Writer) bool {
		field := ""
		if rate() != "" {
			field = "Limit: " + rate() + "\r\n"
		}
		return write(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+a.id+"\r\nSignature: s\r\n"+field+"Content-Length: 2\r\n\r\nok")
	}
}

// TestNamedLimitIsKept: after a response that names a limit, further requests are refused at
// once as not run, with a time for a retry. When a later response names none, they are all
// served again.
func TestNamedLimitIsKept(t *testing.T) {
	var rate atomic.Value
	rate.Store("2")
	w := newTestEnv(t, limitedOK(func() string { return rate.Load().(string) }))
	w.aloneInFleet()
	began := time.Now()
	statuses := w.askMany("/idem/", 200)
	if statuses[200] > 2+int(2*time.Since(began).Seconds()) || statuses[200]+statuses[503] != 200 {
		t.Errorf("statuses are %v after %v, want two requests a second served and 503 for the others", statuses, time.Since(began))
	}
	got := w.ask("/once/", fields, "x")
	if got.status == 200 {
		got = w.ask("/once/", fields, "x") // The limit may allow one, but not two in a row.
	}
	if got.status != 503 || !strings.Contains(got.body, "limit") {
		t.Fatalf("got status %d, body %s; want 503 that names the limit as its reason", got.status, got.body)
	}
	if after, err := strconv.ParseFloat(string(got.head.Get("Retry-After")), 64); err != nil || after <= 0 || after > 1.5 {
		t.Errorf("got Retry-After %s, want a time up to 1.5", got.head.Get("Retry-After"))
	}
	rate.Store("")
	for w.ask("/once/", fields, "x").status != 200 {
		if time.Since(began) > 10*time.Second {
			t.Fatal("no request was served after the end of the limit")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if statuses := w.askMany("/once/", 50); statuses[200] != 50 {
		t.Errorf("statuses are %v after the end of the limit, want 200 only", statuses)
	}
}

// TestLimitOfAnotherRun: the limit counts for the run of the target that named it alone, in
// any response of it, and not for another target at its address.
func TestLimitOfAnotherRun(t *testing.T) {
	for _, c := range []struct {
		name, response string
		limited        bool
	}{
		{"own failure", "500 X\r\nSignature: s\r\nLimit: 1\r\n", true},
		{"full", "503 X\r\nNot-Run: 1\r\nLimit: 1\r\n", true},
		{"other target at the address", "421 X\r\nLimit: 1\r\n", false},
		{"no number", "200 X\r\nSignature: s\r\nLimit: many\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
				return write(w, "HTTP/1.1 "+c.response+"Request-Id: "+a.id+"\r\nContent-Length: 0\r\n\r\n")
			})
			w.aloneInFleet()
			w.ask("/once/", fields, "x")
			_, _, limited := w.engine.fleet.withdrawn()
			if got := limited["s"] == 1; got != c.limited {
				t.Errorf("limited is %v, want %v", got, c.limited)
			}
		})
	}
}

// TestSharedLimits: limits and instances that others share count from then on; invalid
// records, and those of targets that aren't listed, do no harm.
func TestSharedLimits(t *testing.T) {
	w := newTestEnv(t, respondOK)
	w.aloneInFleet()
	f := w.engine.fleet
	entry := func(key, value string) keyed.Entry { return keyed.Entry{Key: key, Value: []byte(value)} }
	f.applyShared(keyed.Change{Entries: []keyed.Entry{
		entry(limit.Key("t0/0"), `{"seq":3,"rate":0.5}`), entry(limit.Key("t0/0"), "x"), entry("foreign", "x"),
		entry(limit.Key("other/1"), `{"seq":1,"rate":1}`), entry(limit.MemberKey("j"), "1"),
	}})
	if statuses := w.askMany("/once/", 20); statuses[503] < 19 {
		t.Errorf("statuses are %v, want 503 for all but one", statuses)
	}
	f.applyShared(keyed.Change{Entries: []keyed.Entry{entry(limit.Key("t0/0"), `{"seq":2,"rate":0}`)}})
	if _, _, limited := f.withdrawn(); limited["s"] != 1 {
		t.Error("an older record ended the limit")
	}
	f.applyShared(keyed.Change{Entries: []keyed.Entry{entry(limit.Key("t0/0"), `{"seq":4,"rate":0}`)}})
	if statuses := w.askMany("/once/", 20); statuses[200] != 20 {
		t.Errorf("statuses are %v after the end of the limit, want 200 only", statuses)
	}
	for i := range 10_000 {
		f.applyShared(keyed.Change{Entries: []keyed.Entry{entry(limit.Key(fmt.Sprint("many/", i)), `{"seq":1,"rate":1}`)}})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.limits.known); n > maxLimits {
		t.Errorf("%d limits are known, want at most %d", n, maxLimits)
	}
}

// TestLateResponseKeepsLimit: a response without a limit to a request that was sent before
// the limit became known doesn't end it.
func TestLateResponseKeepsLimit(t *testing.T) {
	release := make(chan struct{})
	w := newTestEnv(t, func(a receivedRequest, w io.Writer) bool {
		if a.id == "slow" {
			<-release
			return respondOK(a, w)
		}
		return limitedOK(func() string { return "1" })(a, w)
	})
	w.aloneInFleet()
	done := make(chan reply, 1)
	go func() { done <- w.ask("/once/", "Request-Id: slow\nDeadline: 1900\nKey: k\n", "x") }()
	for w.countAt("t0") == 0 {
		time.Sleep(time.Millisecond)
	}
	w.ask("/once/", fields, "x")
	close(release)
	if got := <-done; got.status != 200 {
		t.Fatalf("got status %d, want 200", got.status)
	}
	if _, _, limited := w.engine.fleet.withdrawn(); limited["s"] != 1 {
		t.Error("the late response ended the limit")
	}
}

// TestRetriesOfManyInstances: the retries that many instances make without any requests of
// their own stay within the number that is allowed to all of them together.
func TestRetriesOfManyInstances(t *testing.T) {
	const burst = 176
	for _, n := range []int{4, 32, 68, 390} {
		var names []keyed.Entry
		for i := range n {
			names = append(names, keyed.Entry{Key: limit.MemberKey(fmt.Sprint("i", i)), Value: limit.MemberValue("")})
		}
		retries := 0
		for i := range n {
			f := newFleet("here", Retries{Window: 10 * time.Second, Share: 0.2, Burst: burst}, nil)
			f.limits.self = fmt.Sprint("i", i)
			f.join()
			f.applyShared(keyed.Change{Entries: names, Full: true})
			for f.takeRetry("s") {
				retries++
			}
		}
		if retries > burst {
			t.Errorf("%d instances made %d retries, want at most %d", n, retries, burst)
		}
	}
}
