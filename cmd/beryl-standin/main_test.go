package main

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestServices(t *testing.T) {
	o := options{Log: "1", Weights: ":2", Engines: []string{"3", "127.0.0.2:4"}, Apps: []string{"[::1]:5"}, Relays: []string{"6,1,7"}}
	services, err := o.services()
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, s := range services {
		got = append(got, s.name+" "+loopback(s.addr))
	}
	want := []string{"log 127.0.0.1:1", "weights 127.0.0.1:2", "engine 127.0.0.1:3", "engine 127.0.0.2:4", "app [::1]:5", "relay 127.0.0.1:6", "relay switches 127.0.0.1:7"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if url := o.engine().Weights; url != "http://127.0.0.1:2" {
		t.Errorf("engines load from %q, want http://127.0.0.1:2", url)
	}
	if _, err := (options{Relays: []string{"6,1"}}).services(); err == nil {
		t.Error("a relay without switches was accepted, want an error")
	}
	if run(options{}) == nil {
		t.Error("a run without stand-ins was accepted, want an error")
	}
}
