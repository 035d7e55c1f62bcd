package config

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bytes is a size in bytes. It is written with a unit, as in 64KiB.
type Bytes int64

// byteUnits are the units of sizes, the largest first.
var byteUnits = []struct {
	name string
	size Bytes
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// String writes the size in the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b != 0 && b%u.size == 0 {
			return fmt.Sprintf("%d%s", b/u.size, u.name)
		}
	}
	return "0B"
}

// ParseBytes reads a size with its unit.
func ParseBytes(text string) (Bytes, error) {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > (1<<62)/int64(u.size) {
			return 0, fmt.Errorf("size %q has no valid whole number before its unit", text)
		}
		return Bytes(n) * u.size, nil
	}
	return 0, fmt.Errorf("size %q has no unit, want B, KiB, MiB or GiB", text)
}

// Share is a part of a whole from 0 to 1, written in per cent.
type Share float64

// String writes the share in per cent.
func (s Share) String() string {
	return strconv.FormatFloat(float64(s)*100, 'g', 12, 64) + "%"
}

// ParseShare reads a share in per cent.
func ParseShare(text string) (Share, error) {
	digits, ok := strings.CutSuffix(text, "%")
	if !ok {
		return 0, fmt.Errorf("share %q does not end in a per cent sign", text)
	}
	f, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(f >= 0 && f <= 100) {
		return 0, fmt.Errorf("share %q is not a number from 0%% to 100%%", text)
	}
	return Share(f / 100), nil
}

// Layers holds the log levels of single layers.
type Layers map[string]string

// LogLayers are the names of the parts of the programs that have their own logger
// and log level.
var LogLayers = []string{"front", "entry", "budget", "route", "side", "fleet", "claim", "catal", "fold", "cmds"}

// logLevels are the levels, the least severe first.
var logLevels = []string{"debug", "info", "warn", "error"}

// ParseLayers reads a list such as entry=debug,budget=warn.
func ParseLayers(text string) (Layers, error) {
	if text == "" {
		return nil, nil
	}
	layers := make(Layers)
	for item := range strings.SplitSeq(text, ",") {
		name, level, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok || !slices.Contains(LogLayers, name) || !slices.Contains(logLevels, level) {
			return nil, fmt.Errorf("%q is not LAYER=LEVEL with a known layer and level", item)
		}
		if layers[name] != "" {
			return nil, fmt.Errorf("layer %q is given twice", name)
		}
		layers[name] = level
	}
	return layers, nil
}

// instanceName matches names that can be used in addresses, log lines and paths.
var instanceName = regexp.MustCompile(`^[a-z0-9][a-z0-9./-]{0,127}$`)

// textTypes maps the type tag of a string key to the check of its value. expected
// describes the valid values in fault messages and generated files.
var textTypes = map[string]struct {
	expected string
	valid    func(string) bool
}{
	"name":    {"a lower-case letter or digit, then up to 127 of a-z, 0-9, '.', '/' and '-'", instanceName.MatchString},
	"address": {"an IP address and a port, such as 127.0.0.1:8080", validAddress},
	"url":     {"an http or https URL without query, such as http://127.0.0.1:7000", validURL},
	"file":    {"the path of a file", func(string) bool { return true }},
}

func validAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func validURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	return u.Scheme == "http" || u.Scheme == "https"
}

// parseBool reads yes or no, or true or false.
func parseBool(text string) (bool, error) {
	switch text {
	case "yes", "true":
		return true, nil
	case "no", "false":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither yes nor no", text)
}

// formatDuration writes a duration without units that are zero.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
