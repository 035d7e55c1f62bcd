package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/opsvc"
)

// Globals are the options that every command takes.
type Globals struct {
	Settings     string        `long:"settings" value-name:"FILE" env:"BERYL_SETTINGS" description:"Settings file with the platform's addresses; the options below go before it"`
	LogService   string        `long:"log-service" value-name:"URL" env:"BERYL_LOG_SERVICE" description:"Base URL of the log service"`
	InstanceList string        `long:"instance-list" value-name:"URL" env:"BERYL_INSTANCE_LIST" description:"Base URL of the instance list"`
	Shards       int           `long:"shards" value-name:"N" env:"BERYL_SHARDS" description:"Number of budget streams, 1 unless the settings file says otherwise"`
	Operator     string        `long:"operator" value-name:"NAME" env:"BERYL_OPERATOR" default:"operator" description:"Name that changes carry"`
	Output       string        `long:"output" short:"o" choice:"text" choice:"json" default:"text" description:"Form of the answer on standard output"`
	Timeout      time.Duration `long:"timeout" value-name:"DURATION" default:"15s" description:"How long to wait for the platform, and for a decision"`
}

// App is what a running command may use.
type App struct {
	Globals Globals
	In      io.Reader
	Out     io.Writer

	connect Connect
	tree    *tree
}

// Service connects to the platform that options and settings name.
func (a *App) Service() (*opsvc.Service, error) {
	settings, err := a.Globals.operator()
	if err != nil {
		return nil, err
	}
	if a.connect == nil {
		return nil, errors.New("this program has no connection to a platform")
	}
	s, err := a.connect(settings)
	if err != nil {
		return nil, err
	}
	s.Operator = a.Globals.Operator
	s.Shards = settings.Budget.Shards
	return s, nil
}

// operator merges the settings file, if one is named, and the options.
func (g Globals) operator() (config.Operator, error) {
	settings := config.Defaults[config.Operator]()
	if g.Settings != "" {
		var err error
		if settings, err = config.Load[config.Operator](g.Settings); err != nil {
			return settings, err
		}
	}
	if g.LogService != "" {
		settings.Platform.LogService = g.LogService
	}
	if g.InstanceList != "" {
		settings.Platform.InstanceList = g.InstanceList
	}
	if g.Shards < 0 {
		return settings, fmt.Errorf("%w: --shards is %d, expected at least 1", errInput, g.Shards)
	}
	if g.Shards > 0 {
		settings.Budget.Shards = g.Shards
	}
	return settings, nil
}

// Print writes v as JSON, or what text writes as columns, as --output says.
func (a *App) Print(v any, text func(w io.Writer)) error {
	if a.Globals.Output == "json" {
		enc := json.NewEncoder(a.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// row writes one line of columns.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = io.WriteString(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = io.WriteString(w, "\n")
}
