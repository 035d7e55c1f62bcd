package config

import (
	"fmt"
	"net/netip"
	"reflect"
)

// keyGroups lists the keys of a section that must be set together or not at all.
var keyGroups = []struct {
	section string
	keys    []string
}{
	{"listen", []string{"tls-cert", "tls-key"}},
	{"peer-tls", []string{"cert", "key", "ca"}},
}

// checkGroups reports keys that are not set although other keys of their group
// are set.
func (p *parser) checkGroups(settings reflect.Value) {
	for _, group := range keyGroups {
		s := p.section(group.section)
		if s == nil {
			continue
		}
		set, unset := p.split(s, group.keys, settings)
		if len(set) == 0 {
			continue
		}
		for _, key := range unset {
			p.fault(Fault{
				Section:  s.name,
				Key:      key,
				Found:    "no value",
				Expected: s.field(key).expected() + ", because " + set[0] + " is set",
			})
		}
	}
}

// split returns the keys that are set and those that are not. All of them hold
// strings.
func (p *parser) split(s *section, keys []string, settings reflect.Value) (set, unset []string) {
	for _, key := range keys {
		d := s.field(key)
		if d == nil {
			continue
		}
		if settings.FieldByIndex(d.index).String() != "" {
			set = append(set, key)
		} else {
			unset = append(unset, key)
		}
	}
	return set, unset
}

// checkListeners reports listener addresses that conflict. A malformed address
// has already been reported; here its setting holds the default.
func (p *parser) checkListeners(settings reflect.Value) {
	s := p.section("listen")
	if s == nil {
		return
	}
	p.checkDistinct(s, settings)
	p.checkAdvertised(s, settings)
}

// checkDistinct reports a listener that has the address of another one.
func (p *parser) checkDistinct(s *section, settings reflect.Value) {
	owners := make(map[netip.AddrPort]string)
	for _, key := range []string{"http", "grpc", "debug"} {
		addr, ok := s.address(key, settings)
		if !ok || addr.Port() == 0 {
			continue
		}
		if owner := owners[addr]; owner != "" {
			p.fault(Fault{
				Line:     p.lines.key(s.name, key),
				Section:  s.name,
				Key:      key,
				Found:    fmt.Sprintf("%q", addr),
				Expected: "another address than that of " + owner,
			})
		}
		owners[addr] = key
	}
}

// checkAdvertised reports an address that other instances can't connect to.
func (p *parser) checkAdvertised(s *section, settings reflect.Value) {
	const expected = "an address that the other instances can connect to"
	if addr, ok := s.address("advertise", settings); ok {
		if addr.Addr().IsUnspecified() || addr.Port() == 0 {
			p.fault(Fault{
				Line:     p.lines.key(s.name, "advertise"),
				Section:  s.name,
				Key:      "advertise",
				Found:    fmt.Sprintf("%q", addr),
				Expected: expected,
			})
		}
		return
	}
	if addr, ok := s.address("grpc", settings); ok && addr.Addr().IsUnspecified() {
		p.fault(Fault{
			Section:  s.name,
			Key:      "advertise",
			Found:    "no value",
			Expected: expected + ", because grpc listens on all interfaces",
		})
	}
}

// address returns the address that a key of the section holds, and whether the key
// exists and its value is a valid address.
func (s *section) address(key string, settings reflect.Value) (netip.AddrPort, bool) {
	d := s.field(key)
	if d == nil {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(settings.FieldByIndex(d.index).String())
	return addr, err == nil
}
