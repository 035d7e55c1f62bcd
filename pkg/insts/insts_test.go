package insts

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// inst returns a valid instance of a side process.
func inst(name string, inc ident.Incarnation, state State) Instance {
	return Instance{
		Name: name, Role: Side, Service: "stores-app", DataCentre: "dc-a", Region: "north",
		Addr: "127.0.0.1:1", Incarnation: inc, State: state,
	}
}

// incarnations returns the incarnations of a list.
func incarnations(list []Instance) []ident.Incarnation {
	found := []ident.Incarnation{}
	for _, i := range list {
		found = append(found, i.Incarnation)
	}
	return found
}

func TestView(t *testing.T) {
	var v View
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	router := inst("r", "r~1", Live)
	router.Role, router.Service = Router, ""
	v.Update(at(1), []Instance{inst("b", "b~1", Live), inst("a", "a~1", Live), router})
	change := v.Update(at(2), []Instance{inst("a", "a~1", Draining), inst("b", "b~2", Live), router})
	want := Change{
		Added:    []Instance{inst("b", "b~2", Live)},
		Removed:  []Instance{inst("b", "b~1", Live)},
		Draining: []Instance{inst("a", "a~1", Draining)},
	}
	if diff := cmp.Diff(want, change); diff != "" {
		t.Errorf("change (-want +got):\n%s", diff)
	}
	v.Update(at(3), []Instance{inst("b", "b~2", Live)})
	if diff := cmp.Diff([]ident.Incarnation{"b~2"}, incarnations(v.Sides("stores-app"))); diff != "" {
		t.Errorf("side processes of the service (-want +got):\n%s", diff)
	}
	if len(v.Routers()) != 0 || len(v.Sides("other")) != 0 {
		t.Errorf("routers are %v and side processes of another service are %v, want none", v.Routers(), v.Sides("other"))
	}
	gone := func(since int) []ident.Incarnation {
		var list []Instance
		for _, d := range v.Departures(at(since)) {
			list = append(list, d.Instance)
		}
		return incarnations(list)
	}
	if diff := cmp.Diff([]ident.Incarnation{"b~1", "a~1", "r~1"}, gone(0)); diff != "" {
		t.Errorf("departures (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]ident.Incarnation{"a~1", "r~1"}, gone(3)); diff != "" {
		t.Errorf("departures since time 3 (-want +got):\n%s", diff)
	}
	v.Update(at(4), []Instance{router, inst("b", "b~2", Draining)})
	if diff := cmp.Diff([]ident.Incarnation{"b~1", "a~1"}, gone(0)); diff != "" {
		t.Errorf("departures after an instance was listed again (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]ident.Incarnation{"b~2"}, incarnations(v.Draining())); diff != "" {
		t.Errorf("draining instances (-want +got):\n%s", diff)
	}
	var many []Instance
	for range 2 * maxDepartures {
		many = append(many, inst("x", ident.NewIncarnation("x"), Live))
	}
	v.Update(at(5), many)
	v.Update(at(6), nil)
	if n := len(v.Departures(time.Time{})); n != maxDepartures {
		t.Errorf("%d departures are kept, want %d", n, maxDepartures)
	}
}

// FuzzList decodes arbitrary responses of the instance list. An accepted list must
// contain only valid instances with different names.
func FuzzList(f *testing.F) {
	good := `{"name":"a","role":"side","service":"s","addr":"h:1","incarnation":"a~1","state":"live"}`
	for _, seed := range []string{
		`{"instances":[]}`, `{"instances":null}`, `{}`, `[]`, ``,
		`{"instances":[` + good + `]}`,
		`{"instances":[` + good + `,` + good + `]}`,
		`{"instances":[{"name":"a","role":"none"}]}`,
		`{"instances":[{"name":"a","role":"router","addr":"h","incarnation":"a~1","state":"live"}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, err := decodeList(raw)
		if err != nil {
			if !errors.Is(err, ErrMalformed) || list != nil {
				t.Fatalf("decoded list %v with error %v, want no list and ErrMalformed", list, err)
			}
			return
		}
		seen := make(map[string]bool)
		for _, i := range list {
			if i.Validate() != nil || seen[i.Name] {
				t.Fatalf("accepted the list %s, want ErrMalformed", raw)
			}
			seen[i.Name] = true
		}
	})
}

// TestDecodeList decodes valid and invalid lists. One invalid or repeated entry must
// make the whole list invalid.
func TestDecodeList(t *testing.T) {
	good := `{"name":"a","role":"side","service":"s","addr":"h:1","incarnation":"a~1","state":"live"}`
	for raw, ok := range map[string]bool{
		`{"instances":[]}`:                          true,
		`{"instances":[` + good + `]}`:              true,
		`{"instances":[` + good + `,` + good + `]}`: false,
		`{"instances":[` + good + `,{}]}`:           false,
		`{"instances":null}`:                        false,
		`{}`:                                        false,
		``:                                          false,
	} {
		if _, err := decodeList([]byte(raw)); (err == nil) != ok {
			t.Errorf("list %s: error is %v, want success: %v", raw, err, ok)
		}
	}
}
