package table_test

import (
	"testing"

	"github.com/beryllanding/beryllanding/pkg/table"
)

// TestMatch checks that the longest prefix wins, that prefixes match whole path
// segments and not the query, and that the port and the case of the host do not
// matter.
func TestMatch(t *testing.T) {
	tbl := &table.Table{Routes: []*table.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}
	tbl.Index()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/yz", "short"},
		{"a.example", "/x", "all"},
		{"a.example", "/?/x/y/", "all"},
		{"A.Example:8080", "/x/1", "short"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		name := ""
		if r := tbl.Match([]byte(c.host), []byte(c.path)); r != nil {
			name = r.Name
		}
		if name != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, name, c.want)
		}
	}
}

func TestChoose(t *testing.T) {
	r := &table.Route{Shares: []table.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for u, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.9999999: "b"} {
		if got := r.Choose(u); got != want {
			t.Errorf("Choose(%v) = %q, want %q", u, got, want)
		}
	}
}

// TestMayRepeat checks that only idempotent routes and resumable streams allow a second
// attempt at a request. On other routes, that attempt could run the work twice.
func TestMayRepeat(t *testing.T) {
	for _, c := range []struct {
		route table.Route
		want  bool
	}{
		{table.Route{Repeat: table.Once}, false},
		{table.Route{Repeat: table.Idempotent}, true},
		{table.Route{Stream: true}, false},
		{table.Route{Stream: true, Resumable: true}, true},
		{table.Route{Resumable: true}, false},
	} {
		if c.route.MayRepeat() != c.want {
			t.Errorf("%+v: MayRepeat is %v, want %v", c.route, !c.want, c.want)
		}
	}
}
