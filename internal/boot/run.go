package boot

import (
	"context"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"

	"github.com/beryllanding/beryllanding/internal/config"
)

// exitUsage is the exit code for a wrong command line or settings file, and for a
// program that fails to start or stop.
const exitUsage = 1

// options holds the command-line options of beryl-router and beryl-side.
type options struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" required:"yes" description:"Settings file (INI)"`
}

// Main runs a program until it receives SIGINT or SIGTERM, and then stops it
// gracefully within StopTimeout. It returns the exit code.
func Main[T config.Program](description string, module func(T) fx.Option) int {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	parser.LongDescription = description
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	settings, err := config.Load[T](opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	app := fx.New(module(settings), fx.NopLogger, fx.StopTimeout(StopTimeout))
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	return runApp(app)
}

// runApp starts the program, waits for a signal and stops it.
func runApp(app *fx.App) int {
	starting, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Start(starting); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	<-app.Wait()
	stopping, cancelStop := context.WithTimeout(context.Background(), StopTimeout)
	defer cancelStop()
	if err := app.Stop(stopping); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	return 0
}
