package config

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

func TestFaults(t *testing.T) {
	for _, name := range []string{"router-faults", "side-faults", "operator-empty", "router-listen", "side-listen"} {
		familyName, _, _ := strings.Cut(name, "-")
		err := Check(familyName, filepath.Join("testdata", name+".ini"))
		if !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: got error %v, want ErrInvalid", name, err)
			continue
		}
		check.Golden(t, name+".golden", err.Error()+"\n")
	}
}

func TestWhole(t *testing.T) {
	got, err := Load[Router](filepath.Join("testdata", "router-whole.ini"))
	if err != nil {
		t.Fatal(err)
	}
	want := Defaults[Router]()
	want.Instance = Instance{Name: "chc-a-r1", DataCentre: "chc-a", Region: "nz-south"}
	want.Listen.HTTP, want.Listen.GRPC = "0.0.0.0:8443", "[::1]:8081"
	want.Listen.TLSCert, want.Listen.TLSKey = "/etc/beryl/cert.pem", "/etc/beryl/key.pem"
	want.PeerTLS = PeerTLS{Cert: "c", Key: "k", CA: "a"}
	want.Platform.LogService = "http://127.0.0.1:7000"
	want.Platform.InstanceList = "https://127.0.0.1:7001/base"
	want.Budget.Shards = 4
	want.Budget.Horizon = 90 * time.Second
	want.Budget.LowWater = 0.125
	want.Budget.Weight = "refusals"
	want.Limits.HeaderBytes = 16 << 10
	want.Limits.Queue = 0
	want.Log = Log{Level: "warn", Format: "json", Layers: Layers{"entry": "debug", "budget": "info"}}
	want.Trace = Trace{Exporter: "stdout", Sampled: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// TestLoopback checks that the default address of every listener is on loopback.
func TestLoopback(t *testing.T) {
	router, side := Defaults[Router]().Listen, Defaults[Side]().Listen
	for _, addr := range []string{router.HTTP, router.GRPC, router.Debug, side.GRPC, side.Debug} {
		if !strings.HasPrefix(addr, "127.0.0.1:") {
			t.Errorf("got default address %q, want one on loopback", addr)
		}
	}
}

// TestDefaultsFile checks that the file that WriteDefaults writes parses to the
// defaults.
func TestDefaultsFile(t *testing.T) {
	for _, name := range ProgramNames() {
		var file bytes.Buffer
		if err := WriteDefaults(&file, name); err != nil {
			t.Fatal(err)
		}
		check.Golden(t, name+"-defaults.ini", file.String())
	}
	required := "[instance]\nname=a\ndata-centre=b\n[platform]\nlog-service=http://a\ninstance-list=http://b\n"
	file, err := os.ReadFile(filepath.Join("testdata", "router-defaults.ini"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := Parse[Router]("want", []byte(required))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse[Router]("got", append(file, []byte("\n"+required)...))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// TestReference checks that docs/SETTINGS.md was generated from these structs.
func TestReference(t *testing.T) {
	var page bytes.Buffer
	if err := WriteReference(&page); err != nil {
		t.Fatal(err)
	}
	committed, err := os.ReadFile(filepath.Join("..", "..", "docs", "SETTINGS.md"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(committed), page.String()); diff != "" {
		t.Errorf("docs/SETTINGS.md is out of date, run \"go run ./cmd/beryl docs\" (-committed +generated):\n%s", diff)
	}
}

func TestOtherErrors(t *testing.T) {
	if err := Check("router", filepath.Join("testdata", "missing.ini")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: got error %v, want os.ErrNotExist", err)
	}
	if err := Check("engine", "x"); err == nil || errors.Is(err, ErrInvalid) {
		t.Errorf("settings of an unknown program: got error %v, want one other than ErrInvalid", err)
	}
	if _, err := Parse[Side]("big", make([]byte, maxFile+1)); !errors.Is(err, ErrInvalid) {
		t.Errorf("file over the size limit: got error %v, want ErrInvalid", err)
	}
	if _, err := (PeerTLS{Cert: "missing", Key: "missing", CA: "missing"}).Load(); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing certificate: got error %v, want os.ErrNotExist", err)
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"router-whole.ini", "router-faults.ini", "side-faults.ini", "router-defaults.ini"} {
		data, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("[instance]\nname = \"\"\"a\nb\"\"\"\n[instance.sub]\n- = 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := Parse[Router]("fuzz", data)
		if err == nil {
			if settings.Instance.Name == "" || settings.Platform.LogService == "" || settings.Budget.Shards < 1 {
				t.Fatalf("incomplete settings were accepted, want an error: %+v", settings)
			}
			return
		}
		var faults Faults
		if !errors.As(err, &faults) || len(faults) == 0 {
			t.Fatalf("got error %v, want one that lists faults", err)
		}
		for _, fault := range faults {
			if fault.File != "fuzz" || fault.Found == "" || fault.Expected == "" {
				t.Fatalf("got fault %+v, want file \"fuzz\" and both found and expected", fault)
			}
		}
	})
}
