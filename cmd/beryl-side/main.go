// Beryl-side is the process beside one target. See internal/boot.
package main

import (
	"os"

	"github.com/beryllanding/beryllanding/internal/boot"
)

func main() {
	os.Exit(boot.Main("Runs, meters and bills the work of the target that it stands beside. "+
		"\"beryl settings show-defaults side\" prints a settings file to start from.", boot.SideModule))
}
