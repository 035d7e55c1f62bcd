// Command beryl-soak runs real builds of the programs as separate processes on loopback, with
// faults that are drawn from a seed. It is not part of the product.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/beryllanding/beryllanding/platform/soak"
)

// errFindings reports promises that were broken.
var errFindings = errors.New("promises were broken")

// runCommand plays seeds.
type runCommand struct {
	Program   string        `long:"program" default:"target/beryl-edge" description:"program of the instances"`
	Mix       string        `long:"mix" default:"calm-stops" choice:"calm-stops" choice:"stops" choice:"troubles" description:"which faults are drawn"`
	First     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     uint64        `long:"seeds" default:"1" description:"number of seeds"`
	Length    time.Duration `long:"length" default:"30s" description:"duration of a seed"`
	Instances int           `long:"instances" default:"6" description:"number of instances"`
	Models    int           `long:"models" default:"6" description:"number of targets with streams"`
	Apps      int           `long:"apps" default:"3" description:"number of targets without streams"`
	Callers   int           `long:"callers" default:"60" description:"number of callers"`
	Dir       string        `long:"dir" default:"target/soak" description:"where settings, logs and reports go"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	broken := false
	for seed := c.First; seed < c.First+c.Seeds && ctx.Err() == nil; seed++ {
		r, err := soak.Run(ctx, soak.Options{
			Self: self, Program: c.Program, Mix: c.Mix, Dir: c.Dir,
			Size: soak.Size{Instances: c.Instances, Models: c.Models, Apps: c.Apps, Callers: c.Callers, Length: c.Length},
		}, seed)
		if err != nil {
			return err
		}
		fmt.Print(r.Text())
		broken = broken || len(r.Findings) > 0
	}
	if broken {
		return errFindings
	}
	return nil
}

// targetCommand serves a stand-in of a target.
type targetCommand struct {
	soak.TargetOptions
}

// Execute implements flags.Commander.
func (c *targetCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return soak.ServeTarget(ctx, c.TargetOptions, os.Stdout)
}

func main() {
	var options struct {
		Run    runCommand    `command:"run" description:"play seeds; exits with 1 if a promise was broken"`
		Target targetCommand `command:"target" description:"serve a stand-in of a target"`
	}
	if _, err := flags.Parse(&options); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
