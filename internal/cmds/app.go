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

// Globals holds the options that every command takes.
type Globals struct {
	Settings     string        `long:"settings" value-name:"FILE" env:"BERYL_SETTINGS" description:"Settings file with the addresses of the platform's services; the options below override it"`
	LogService   string        `long:"log-service" value-name:"URL" env:"BERYL_LOG_SERVICE" description:"Base URL of the log service, which stores the catalogue and the budget accounts"`
	InstanceList string        `long:"instance-list" value-name:"URL" env:"BERYL_INSTANCE_LIST" description:"Base URL of the instance list, which names the running entry instances and side processes"`
	Shards       int           `long:"shards" value-name:"N" env:"BERYL_SHARDS" description:"Number of log streams that budgets are spread over, as in the entry instances' settings; 1 if neither this nor the settings file sets it"`
	Operator     string        `long:"operator" value-name:"NAME" env:"BERYL_OPERATOR" default:"operator" description:"Name that is recorded as the author of a change"`
	Output       string        `long:"output" short:"o" choice:"text" choice:"json" default:"text" description:"Format of the output"`
	Timeout      time.Duration `long:"timeout" value-name:"DURATION" default:"15s" description:"Time limit of the command, including the wait for the outcome of a change"`
}

// App holds what a running command uses: the global options, its input and
// output, and the connection to the platform.
type App struct {
	Globals Globals
	In      io.Reader
	Out     io.Writer

	connect Connect
	tree    *tree
}

// Service connects to the platform that the options and the settings file name.
func (a *App) Service() (*opsvc.Service, error) {
	settings, err := a.Globals.operator()
	if err != nil {
		return nil, err
	}
	if a.connect == nil {
		return nil, errors.New("the command needs a platform, but this program can't connect to one")
	}
	s, err := a.connect(settings)
	if err != nil {
		return nil, err
	}
	s.Operator = a.Globals.Operator
	s.Shards = settings.Budget.Shards
	return s, nil
}

// operator returns the settings of the file, if one is named, with the options
// applied to them.
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

// Print writes v as JSON if --output is "json". Otherwise it calls text, and
// aligns the tab-separated columns that text writes.
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

// row writes the cells as one line, separated by tabs.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = io.WriteString(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = io.WriteString(w, "\n")
}
