// Command egretbend runs an instance of the rollout service, and the commands for
// its operators.
package main

import (
	"os"

	"github.com/egretbend/egretbend/internal/entry/command"
	"github.com/egretbend/egretbend/platform"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr, platform.Command(), platform.IdleCommand()))
}
