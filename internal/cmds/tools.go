package cmds

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/beryllanding/beryllanding/internal/config"
	"github.com/beryllanding/beryllanding/internal/meter"
	"github.com/beryllanding/beryllanding/pkg/catal"
)

// Builtin returns the commands that are part of every beryl program.
func Builtin() []Command {
	return []Command{
		catalogueCommand(),
		budgetCommand(),
		usageCommand(),
		targetsCommand(),
		instancesCommand(),
		holdingsCommand(),
		fleetCommand(),
		keyCommand(),
		settingsCommand(),
		{
			Name:   "docs",
			Short:  "Write the generated pages of the documentation",
			Hidden: true,
			New:    func() Runner { return new(docs) },
		},
		{
			Name:  "version",
			Short: "Print the version",
			New:   func() Runner { return new(version) },
		},
	}
}

// keyCommand is "beryl key".
func keyCommand() Command {
	return Command{
		Name:  "key",
		Short: "Make callers' keys and their hashes",
		Long: `A caller sends its key with every request. The catalogue holds only the SHA-256
hash of a key. The key itself is printed once, when it is made, and is kept by
the caller.`,
		Children: []Command{
			{
				Name:  "new",
				Short: "Make a key and its hash",
				Long: `Prints a new random key and its hash. Give the key to the caller, and put the
hash into "key-hashes" of the budget that the caller may spend.`,
				Examples: []Example{{"beryl key new", "make a key"}},
				New:      func() Runner { return new(keyNew) },
			},
			{
				Name:  "hash",
				Short: "Print the hash of a key",
				Long: `Reads one key from standard input and prints its hash. The key is not an
argument because arguments are visible in the list of processes.`,
				Examples: []Example{{"beryl key hash < key.txt", "print the hash of the key in a file"}},
				New:      func() Runner { return new(keyHash) },
			},
		},
	}
}

// keyPrefix starts every key, so that a leaked key can be found in logs and
// source code.
const keyPrefix = "beryl-key-"

type keyNew struct{}

// Run makes a key.
func (c *keyNew) Run(_ context.Context, app *App) error {
	key := keyPrefix + rand.Text()
	hash := catal.HashKey(key).String()
	body := struct {
		Key  string `json:"key"`
		Hash string `json:"hash"`
	}{key, hash}
	return app.Print(body, func(w io.Writer) {
		row(w, "key:", key)
		row(w, "hash:", hash)
	})
}

type keyHash struct{}

// maxKey is the size limit of a key, in bytes.
const maxKey = 4096

// Run hashes a key.
func (c *keyHash) Run(_ context.Context, app *App) error {
	data, err := io.ReadAll(io.LimitReader(app.In, maxKey+1))
	if err != nil {
		return err
	}
	key := string(bytes.TrimRight(data, "\r\n"))
	if key == "" || len(data) > maxKey || bytes.ContainsAny([]byte(key), " \t\r\n") {
		return fmt.Errorf("%w: expected one key of up to %d bytes, without blanks, on standard input", errInput, maxKey)
	}
	body := struct {
		Hash string `json:"hash"`
	}{catal.HashKey(key).String()}
	return app.Print(body, func(w io.Writer) { row(w, body.Hash) })
}

// settingsCommand is "beryl settings".
func settingsCommand() Command {
	return Command{
		Name:  "settings",
		Short: "Check and make settings files",
		Children: []Command{
			{
				Name:  "check",
				Short: "Check a settings file",
				Long: `Checks the file as the program does when it starts, and lists all faults. The
exit code is 0 if there are none, and 5 otherwise.`,
				Examples: []Example{{"beryl settings check router.ini --for router", "check the settings of an entry instance"}},
				New:      func() Runner { return new(settingsCheck) },
			},
			{
				Name:     "show-defaults",
				Short:    "Print a settings file with all keys and defaults",
				Examples: []Example{{"beryl settings show-defaults --for side > side.ini", "start a settings file"}},
				New:      func() Runner { return new(settingsDefaults) },
			},
		},
	}
}

type settingsCheck struct {
	For  string `long:"for" choice:"router" choice:"side" choice:"operator" required:"yes" description:"Program that reads the file: beryl-router, beryl-side, or beryl itself (operator)"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"Settings file"`
	} `positional-args:"yes" required:"yes"`
}

// Run checks the file.
func (c *settingsCheck) Run(_ context.Context, app *App) error {
	err := config.Check(c.For, c.Args.File)
	var faults config.Faults
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	body := struct {
		Valid  bool          `json:"valid"`
		Faults config.Faults `json:"faults,omitempty"`
	}{err == nil, faults}
	if err := app.Print(body, func(w io.Writer) { writeFaults(w, c.Args.File, faults) }); err != nil {
		return err
	}
	if len(faults) > 0 {
		return reportedError{ExitCheckFailed}
	}
	return nil
}

func writeFaults(w io.Writer, file string, faults config.Faults) {
	if len(faults) == 0 {
		row(w, file+": no faults")
		return
	}
	row(w, faults.Error())
}

type settingsDefaults struct {
	For string `long:"for" choice:"router" choice:"side" choice:"operator" required:"yes" description:"Program that reads the file: beryl-router, beryl-side, or beryl itself (operator)"`
}

// Run prints the defaults.
func (c *settingsDefaults) Run(_ context.Context, app *App) error {
	return config.WriteDefaults(app.Out, c.For)
}

type docs struct {
	Dir string `long:"dir" value-name:"DIR" default:"docs" description:"Directory to write to"`
}

// Run writes the pages.
func (c *docs) Run(_ context.Context, app *App) error {
	var settings, commands, metrics bytes.Buffer
	if err := config.WriteReference(&settings); err != nil {
		return err
	}
	if err := app.tree.reference(&commands); err != nil {
		return err
	}
	if err := meter.WriteReference(&metrics); err != nil {
		return err
	}
	for name, page := range map[string]*bytes.Buffer{
		"SETTINGS.md": &settings, "COMMANDS.md": &commands, "METRICS.md": &metrics,
	} {
		if err := os.WriteFile(filepath.Join(c.Dir, name), page.Bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}

type version struct{}

// Run prints the version.
func (c *version) Run(_ context.Context, app *App) error {
	body := struct {
		Version string `json:"version"`
		Commit  string `json:"commit,omitempty"`
		Go      string `json:"go"`
	}{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		body.Version, body.Go = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				body.Commit = s.Value
			}
		}
	}
	return app.Print(body, func(w io.Writer) { row(w, "beryl", body.Version, body.Commit, body.Go) })
}
