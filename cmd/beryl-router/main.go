// Beryl-router is an entry instance: callers reach it over HTTP. See
// internal/boot.
package main

import (
	"os"

	"github.com/beryllanding/beryllanding/internal/boot"
)

func main() {
	os.Exit(boot.Main("Serves callers of models and applications from prepaid token budgets. "+
		"\"beryl settings show-defaults router\" prints a settings file to start from.", boot.RouterModule))
}
