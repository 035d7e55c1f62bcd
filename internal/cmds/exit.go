package cmds

import (
	"context"
	"errors"

	"github.com/beryllanding/beryllanding/internal/audit"
	"github.com/beryllanding/beryllanding/internal/opsvc"
	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

// ExitCode is the exit code of beryl.
type ExitCode int

// The exit codes.
const (
	// ExitOK: the command succeeded. A change was accepted.
	ExitOK ExitCode = 0
	// ExitUsage: wrong usage or bad input. Nothing was changed.
	ExitUsage ExitCode = 1
	// ExitConflict: another change came first. Nothing was changed.
	ExitConflict ExitCode = 2
	// ExitUnknown: the platform could not be reached, or the outcome of a
	// change is unknown.
	ExitUnknown ExitCode = 3
	// ExitNotFound: the name does not exist.
	ExitNotFound ExitCode = 4
	// ExitCheckFailed: a check failed.
	ExitCheckFailed ExitCode = 5
)

// exitHelp explains the exit codes in the help.
const exitHelp = `Exit codes:
  0  done, or accepted
  1  wrong usage or bad input; nothing was changed
  2  conflict: another change came first; nothing was changed
  3  the platform could not be reached, or the outcome is unknown
  4  the name does not exist
  5  the check failed
`

// Int converts the code to the type that os.Exit takes.
func (c ExitCode) Int() int { return int(c) }

// errInput is matched by errors about a command's arguments and input.
var errInput = errors.New("bad input")

// ErrCheckFailed is matched by errors of commands whose check failed.
var ErrCheckFailed = errors.New("check failed")

// reportedError carries the exit code of a command that has already printed its
// outcome.
type reportedError struct{ code ExitCode }

// Error is not printed.
func (e reportedError) Error() string { return "the outcome was printed" }

// Exit returns the exit code for a command's error.
func Exit(err error) ExitCode {
	var reported reportedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &reported):
		return reported.code
	case errors.Is(err, ErrCheckFailed), errors.Is(err, opsvc.ErrMayBeAlive):
		return ExitCheckFailed
	case errors.Is(err, opsvc.ErrNotFound), errors.Is(err, audit.ErrNotFound):
		return ExitNotFound
	case unreachable(err):
		return ExitUnknown
	}
	return ExitUsage
}

// unreachable reports whether the error means that the platform could not be
// reached, or that the outcome of a change is unknown.
func unreachable(err error) bool {
	for _, target := range []error{
		logsvc.ErrUnavailable, logsvc.ErrRateLimited, logsvc.ErrOutcomeUnknown, keyed.ErrUnavailable,
		fold.ErrGap, opsvc.ErrPlatform, context.DeadlineExceeded, context.Canceled,
	} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// outcomeError returns the error for an outcome that was printed, or nil if the
// change was accepted.
func outcomeError(o opsvc.Outcome) error {
	switch o {
	case opsvc.Accepted:
		return nil
	case opsvc.Conflict:
		return reportedError{ExitConflict}
	case opsvc.Invalid:
		return reportedError{ExitUsage}
	}
	return reportedError{ExitUnknown}
}
