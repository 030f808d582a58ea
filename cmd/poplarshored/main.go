// Command poplarshored serves callers on an entry VM. Its subcommand gateway runs the
// gateway of the users' platform.
package main

import (
	"context"
	"os"

	"github.com/poplarshore/poplarshore/internal/entryd"
	"github.com/poplarshore/poplarshore/internal/gatewayd"
)

func main() {
	root := entryd.NewCommand()
	root.AddCommand(gatewayd.NewCommand())
	if err := root.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}
