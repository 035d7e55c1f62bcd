// Beryl is the operators' program. See internal/cmds.
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

// extra are the commands beside the built-in ones; a file of this package adds
// to it from an init function.
var extra []cmds.Command
