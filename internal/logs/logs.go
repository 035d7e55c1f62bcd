// Package logs creates the loggers of the programs: one for each layer, whose
// level the settings can set by the layer's name.
package logs

import (
	"fmt"
	"io"
	"slices"

	"github.com/charmbracelet/log"

	"github.com/beryllanding/beryllanding/internal/config"
)

// Fields that log lines share between layers.
const (
	// FieldRequest is the id of the request that the line is about.
	FieldRequest = "request-id"
	// FieldAttempt is the id of the attempt.
	FieldAttempt = "attempt-id"
	// FieldBudget is the name of a budget.
	FieldBudget = "budget"
	// FieldTarget is the slot of a target.
	FieldTarget = "target"
	// FieldErr is an error.
	FieldErr = "err"
)

// Set holds the loggers of the layers. The zero value discards all lines. It is
// safe for concurrent use.
type Set struct {
	layers map[string]*log.Logger
}

// New returns loggers with the levels and the format of the settings, which write
// to w.
func New(w io.Writer, settings config.Log) (*Set, error) {
	formatter, err := formatter(settings.Format)
	if err != nil {
		return nil, err
	}
	s := &Set{layers: make(map[string]*log.Logger, len(config.LogLayers))}
	for _, name := range config.LogLayers {
		level, err := log.ParseLevel(levelOf(settings, name))
		if err != nil {
			return nil, fmt.Errorf("log level of layer %q: %w", name, err)
		}
		s.layers[name] = log.NewWithOptions(w, log.Options{
			Level:           level,
			Formatter:       formatter,
			ReportTimestamp: true,
			TimeFormat:      TimeFormat,
			Prefix:          name,
		})
	}
	return s, nil
}

// TimeFormat is RFC 3339 with milliseconds.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// levelOf returns the level of the layer. In the zero settings it is info.
func levelOf(settings config.Log, layer string) string {
	if level := settings.Layers[layer]; level != "" {
		return level
	}
	if settings.Level != "" {
		return settings.Level
	}
	return "info"
}

func formatter(name string) (log.Formatter, error) {
	switch name {
	case "", "text":
		return log.TextFormatter, nil
	case "json":
		return log.JSONFormatter, nil
	case "logfmt":
		return log.LogfmtFormatter, nil
	}
	return 0, fmt.Errorf("log format is %q, expected text, json or logfmt", name)
}

// Layer returns the logger of a layer. It panics if the layer is not one of
// config.LogLayers, which is a programming error.
func (s *Set) Layer(name string) *log.Logger {
	if !slices.Contains(config.LogLayers, name) {
		panic(fmt.Sprintf("logs: layer %q does not exist", name))
	}
	if l := s.layers[name]; l != nil {
		return l
	}
	return log.New(io.Discard)
}
