// Command beryl-standin starts stand-ins of the platform's services for tests.
// It is not part of the product.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"github.com/beryllanding/beryllanding/internal/stand/appd"
	"github.com/beryllanding/beryllanding/internal/stand/engd"
	"github.com/beryllanding/beryllanding/internal/stand/instd"
	"github.com/beryllanding/beryllanding/internal/stand/logd"
	"github.com/beryllanding/beryllanding/internal/stand/relay"
	"github.com/beryllanding/beryllanding/internal/stand/wghtd"
)

// notice describes the program in its help and its first log line.
const notice = "stand-ins of the platform for tests, not the product: everything is in memory and lost at exit"

// headerTimeout bounds the time that a caller takes to send its headers.
const headerTimeout = 10 * time.Second

// options holds the command line's options.
type options struct {
	Log       string   `long:"log" value-name:"ADDR" description:"serve the log service"`
	Instances string   `long:"instances" value-name:"ADDR" description:"serve the instance list"`
	Weights   string   `long:"weights" value-name:"ADDR" description:"serve the weight store"`
	Engines   []string `long:"engine" value-name:"ADDR" description:"serve a model engine; may be repeated"`
	Apps      []string `long:"app" value-name:"ADDR" description:"serve an application; may be repeated"`

	Relays []string `long:"relay" value-name:"ADDR,TARGET,SWITCHES" description:"forward connections from ADDR to TARGET; SWITCHES is the address that serves the switches for network failures; may be repeated"`

	TokenTime time.Duration `long:"token-time" value-name:"TIME" default:"5ms" description:"time that the engines take for one token"`
	Fenced    bool          `long:"check-fence" description:"make the engines refuse orders with a lower fencing number than they have seen"`
}

// service is one stand-in and the address that it listens on.
type service struct {
	name  string
	addr  string
	serve func(net.Listener) error
}

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	parser.LongDescription = "Starts " + notice + ". An ADDR is a port, on loopback, or a host and port. " +
		"GET and PUT /switches of each stand-in show and set the failures that it simulates."
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		log.Error("stand-ins failed", "err", err)
		os.Exit(1)
	}
}

// run serves until a signal or the first failure.
func run(opts options) error {
	log.Warn(notice)
	services, err := opts.services()
	if err != nil {
		return err
	}
	if len(services) == 0 {
		return errors.New("no stand-in is selected; see --help")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := make(chan error, len(services))
	for _, s := range services {
		listener, err := net.Listen("tcp", loopback(s.addr))
		if err != nil {
			return fmt.Errorf("%s stand-in: %w", s.name, err)
		}
		log.Info("serving", "stand-in", s.name, "addr", listener.Addr())
		go func() { failed <- s.serve(listener) }()
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// services returns the stand-ins that the options name.
func (o options) services() ([]service, error) {
	var list []service
	add := func(name, addr string, handler http.Handler) {
		if addr != "" {
			server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
			list = append(list, service{name: name, addr: addr, serve: server.Serve})
		}
	}
	add("log", o.Log, logd.New(logd.Switches{}).Handler())
	add("instances", o.Instances, instd.New(instd.Switches{}).Handler())
	add("weights", o.Weights, wghtd.New(wghtd.Switches{}).Handler())
	for _, addr := range o.Engines {
		add("engine", addr, o.engine().Handler())
	}
	for _, addr := range o.Apps {
		add("app", addr, appd.New(appd.Switches{}).Handler())
	}
	for _, text := range o.Relays {
		part := strings.Split(text, ",")
		if len(part) != 3 {
			return nil, fmt.Errorf("relay is %q, expected ADDR,TARGET,SWITCHES", text)
		}
		r := &relay.Relay{Target: loopback(part[1])}
		list = append(list, service{name: "relay", addr: part[0], serve: r.Serve})
		add("relay switches", part[2], r.Handler())
	}
	return list, nil
}

// engine returns a new engine. It loads its weights from the weight store's
// stand-in if the options name one.
func (o options) engine() *engd.Engine {
	e := engd.New(engd.Switches{TokenMicros: int(o.TokenTime.Microseconds()), CheckFence: o.Fenced})
	if o.Weights != "" {
		e.Weights = "http://" + loopback(o.Weights)
	}
	return e
}

// loopback adds the loopback address to an address that has only a port.
func loopback(addr string) string {
	if !strings.Contains(addr, ":") {
		return "127.0.0.1:" + addr
	}
	if strings.HasPrefix(addr, ":") {
		return "127.0.0.1" + addr
	}
	return addr
}
