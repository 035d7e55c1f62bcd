// Command beryl is the operators' program. See internal/cmds.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/beryllanding/beryllanding/internal/cmds"
	"github.com/beryllanding/beryllanding/internal/opsvc"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := cmds.Program{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Connect: opsvc.Dial, Extra: extra}
	code := p.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// extra holds the commands in addition to the built-in ones. Files of this
// package append to it in init functions.
var extra []cmds.Command
