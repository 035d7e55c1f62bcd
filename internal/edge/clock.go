package edge

import (
	"context"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// clockInterval is how often the clocks are compared.
	clockInterval = 500 * time.Millisecond
	// minSuspension is the least difference between the clocks that counts as a
	// suspension.
	minSuspension = 300 * time.Millisecond
)

// watchClock detects suspensions of the machine. During a suspension the boot clock
// advances, but the monotonic clock, which timers use, does not. Afterwards, idle
// connections may be broken without having reported an error, and the data read from
// the store is older than the timers show. watchClock therefore marks the configuration
// as stale, drops idle connections and reconnects to the store.
func (n *Node) watchClock(ctx context.Context) {
	tick := time.NewTicker(clockInterval)
	defer tick.Stop()
	before, err := suspendedTime()
	if err != nil {
		n.logger("node").Warn("boot clock cannot be read; suspensions of the machine will not be detected", "err", err)
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now, err := suspendedTime()
		if err != nil {
			n.logger("node").Warn("boot clock cannot be read; suspensions of the machine will not be detected", "err", err)
			return
		}
		if now-before < minSuspension {
			continue
		}
		n.logger("node").Warn("machine was suspended", "for", now-before)
		before = now
		n.engine.confirmed.Store(-int64(time.Hour))
		n.engine.fleet.dropIdle()
		if n.opts.Reconnect != nil {
			n.opts.Reconnect()
		}
	}
}

// bootClock returns the time since the machine booted, suspensions included. The clock
// continues across restarts of the process.
func bootClock() time.Duration {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0 // Linux has had the clock since 2.6.39. A pledge at time 0 is never trusted.
	}
	return time.Duration(boot.Nano())
}

// bootIDFile holds an id that is unique to each boot of the machine.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// bootID returns the id of the current boot, or "" if the kernel does not provide it.
// Without the id, only the age of a pledge distinguishes boots.
func bootID() string {
	id, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(id))
}

// suspendedTime returns how long the machine has been suspended since it booted.
func suspendedTime() (time.Duration, error) {
	var boot, mono unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - mono.Nano()), nil
}
