package limit_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/limit"
)

func genRecord() *rapid.Generator[limit.Record] {
	return rapid.Custom(func(t *rapid.T) limit.Record {
		return limit.Record{Seq: rapid.Int64Range(0, 2).Draw(t, "seq"), Rate: float64(rapid.IntRange(0, 3).Draw(t, "rate"))}
	})
}

// TestMergeLaws: records merge to the same result in any order and however often.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genRecord().Draw(t, "a"), genRecord().Draw(t, "b"), genRecord().Draw(t, "c")
		if a.Merge(b) != b.Merge(a) || a.Merge(b).Merge(c) != a.Merge(b.Merge(c)) || a.Merge(a) != a {
			t.Errorf("laws of a merge don't hold for %+v, %+v, %+v", a, b, c)
		}
		if back, err := limit.Decode(a.Encode()); err != nil || back != a {
			t.Errorf("decoded %+v, error %v; want %+v", back, err, a)
		}
	})
}

// TestInvalidRecords: keys and values of other writers are rejected.
func TestInvalidRecords(t *testing.T) {
	for _, value := range []string{"", "x", `{"seq":-1}`, `{"rate":-1}`, `{"rate":"1"}`, `{"rate":1e999}`} {
		if r, err := limit.Decode([]byte(value)); !errors.Is(err, limit.ErrRecord) {
			t.Errorf("value %q: got %+v, error %v; want ErrRecord", value, r, err)
		}
	}
	if run, ok := limit.ParseKey(limit.Key("i-1/5")); !ok || run != "i-1/5" {
		t.Errorf("got run %q, %v; want i-1/5", run, ok)
	}
	if name, ok := limit.ParseMemberKey(limit.MemberKey("edge-1")); !ok || name != "edge-1" {
		t.Errorf("got instance %q, %v; want edge-1", name, ok)
	}
	for _, key := range []string{"", "limit/", "instance/", "part/s/a"} {
		_, isLimit := limit.ParseKey(key)
		_, isMember := limit.ParseMemberKey(key)
		if isLimit || isMember {
			t.Errorf("key %q names a limit (%v) or an instance (%v), want neither", key, isLimit, isMember)
		}
	}
}

// TestMembers: instances count until they end, or are silent for long, and are bounded.
func TestMembers(t *testing.T) {
	var m limit.Members
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	if !m.See(now, "b", "") || !m.See(now, "a", "") || m.See(now, "a", "") {
		t.Error("see: want news for the first two and none for the third")
	}
	if !m.Gone("b") || m.Gone("b") {
		t.Error("gone: want news once")
	}
	m.See(now, "c", "")
	m.See(now.Add(20*time.Minute), "a", "")
	if gone := m.Expire(now.Add(30 * time.Minute)); !slices.Equal(gone, []string{"c"}) || !slices.Equal(m.Names(), []string{"a"}) {
		t.Errorf("expired are %v, left %v; want c and a", gone, m.Names())
	}
	for i := range 10_000 {
		m.See(now, fmt.Sprint(i), "")
	}
	if n := len(m.Names()); n > 4096 {
		t.Errorf("%d instances are known, want at most 4096", n)
	}
}

// TestMemberAddresses: an instance can be asked at the address of its newest record, unless
// that has none or the instance has ended.
func TestMemberAddresses(t *testing.T) {
	var m limit.Members
	now := time.Now()
	for _, e := range []struct{ instance, value string }{{"a", "10.0.0.1:7201"}, {"b", "1"}, {"c", "10.0.0.3:7201"}, {"c", "nonsense"}, {"d", "10.0.0.4:7201"}} {
		m.See(now, e.instance, limit.ParseMember([]byte(e.value)))
	}
	m.See(now, "e", limit.ParseMember(limit.MemberValue("10.0.0.5:7201")))
	m.See(now, "f", limit.ParseMember(limit.MemberValue("")))
	m.Gone("d")
	want := map[string]string{"a": "10.0.0.1:7201", "e": "10.0.0.5:7201"}
	if got := m.Addresses(); !maps.Equal(got, want) {
		t.Errorf("addresses are %v, want %v", got, want)
	}
}
