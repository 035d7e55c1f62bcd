// Command beryl-side runs a side process, which runs next to one target. See
// internal/boot.
package main

import (
	"os"

	"github.com/beryllanding/beryllanding/internal/boot"
)

func main() {
	os.Exit(boot.Main("Runs requests on one target, which is a model engine or an application, and meters and bills them. "+
		"\"beryl settings show-defaults --for side\" prints a settings file to start from.", boot.SideModule))
}
