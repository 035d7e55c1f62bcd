// Command beryl-router runs an entry instance, which callers reach over HTTP. See
// internal/boot.
package main

import (
	"os"

	"github.com/beryllanding/beryllanding/internal/boot"
)

func main() {
	os.Exit(boot.Main("Routes callers' HTTP requests to models and applications, and charges them to prepaid token budgets. "+
		"\"beryl settings show-defaults --for router\" prints a settings file to start from.", boot.RouterModule))
}
