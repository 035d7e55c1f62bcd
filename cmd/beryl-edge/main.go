// Command beryl-edge runs an entry instance on the users' platform, which calls
// the targets directly. See internal/edge.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"github.com/beryllanding/beryllanding/internal/edge"
	"github.com/beryllanding/beryllanding/internal/logs"
	"github.com/beryllanding/beryllanding/internal/trial"
	"github.com/beryllanding/beryllanding/platform"
)

// options holds the command line's options.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file of the platform; if it is omitted, the file that the environment variable BERYLLANDING_BOOT names"`
	ServeAll bool   `long:"serve-all" description:"serve all requests and forward each event at once also while the instance is overloaded"`
	Off      string `long:"off" value-name:"NAMES" description:"mechanisms that are switched off for an experiment, separated by commas; beryl edge mechanisms lists them"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least severe level that is logged"`
}

const (
	// settingsEvery is the interval at which the settings file is checked for
	// changes, since it may change without a SIGHUP.
	settingsEvery = 2 * time.Second
	// memoryShare is the Go memory limit as a share of the process's memory limit.
	// Socket buffers count towards the process's limit too.
	memoryShare = 0.6
	// gcPercent is GOGC. The heap is small and may grow more than by default before
	// it is collected.
	gcPercent = 200
)

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "beryl-edge:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	path := opts.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	off, err := trial.Parse(opts.Off)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(opts.LogLevel)
	if err != nil {
		return err
	}
	out := logs.NewAsync(os.Stdout)
	defer out.Close()
	logger := log.NewWithOptions(out, log.Options{Level: level, Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: logs.TimeFormat})
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store := platform.NewStore(settings.StoreAddress)
	store.Logger = logger.WithPrefix("store")
	nodeOptions := platform.Options(settings, store, logger)
	nodeOptions.ServeAll, nodeOptions.Off = opts.ServeAll, off
	nodeOptions.LogDropped = out.Dropped
	node := edge.New(nodeOptions)
	go reload(ctx, path, settings, store, logger)
	return node.Run(ctx)
}

// reload applies changes of the settings file until the context ends. It reads
// the file at SIGHUP, and when the file's modification time has changed. Only
// the store's address is applied; other settings need a restart.
func reload(ctx context.Context, path string, current platform.Settings, store *platform.Store, logger *log.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	tick := time.NewTicker(settingsEvery)
	defer tick.Stop()
	var seen time.Time
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-tick.C:
		}
		info, err := os.Stat(path)
		if err != nil {
			logger.Warn("cannot get the status of the settings file; keeping the current settings", "err", err)
			continue
		}
		if !signalled && info.ModTime().Equal(seen) {
			continue
		}
		seen = info.ModTime()
		next, err := platform.LoadSettings(path)
		if err != nil {
			logger.Warn("cannot load the settings file; keeping the current settings", "err", err)
			continue
		}
		if next == current && !signalled {
			continue
		}
		if next.StoreAddress != current.StoreAddress {
			store.SetAddress(next.StoreAddress)
		}
		applied := current
		applied.StoreAddress = next.StoreAddress
		// A new process applies the other settings, such as listen addresses and
		// limits.
		logger.Info("settings reloaded", "store", next.StoreAddress, "store-changed", next.StoreAddress != current.StoreAddress,
			"waits-for-restart", next != applied)
		current = next
	}
}
