package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/beryllanding/beryllanding/internal/opsvc"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

type catalogueInForce struct {
	Args struct {
		Offset *uint64 `positional-arg-name:"OFFSET" description:"Offset of the change; if it is omitted, the latest accepted change is checked"`
	} `positional-args:"yes"`
}

// Run asks the entry instances.
func (c *catalogueInForce) Run(ctx context.Context, app *App) error {
	s, err := app.Service()
	if err != nil {
		return err
	}
	f, err := s.InForce(ctx, (*logsvc.Offset)(c.Args.Offset))
	if err != nil {
		return err
	}
	if err := app.Print(f, func(w io.Writer) { writeInForce(w, f) }); err != nil {
		return err
	}
	switch {
	case f.Behind():
		return reportedError{ExitCheckFailed}
	case f.Silent():
		return reportedError{ExitUnknown}
	}
	return nil
}

func writeInForce(w io.Writer, f opsvc.InForce) {
	row(w, "INSTANCE", "OFFSET", fmt.Sprintf("%d IN FORCE", f.Wanted))
	for _, p := range f.Instances {
		switch {
		case p.Error != "":
			row(w, p.Instance, "-", "no answer: "+p.Error)
		case p.InForce:
			row(w, p.Instance, p.Offset, "yes")
		default:
			row(w, p.Instance, p.Offset, "no")
		}
	}
}
