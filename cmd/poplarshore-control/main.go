// Command poplarshore-control runs the jobs of an environment that only one process may do
// at a time: roll-outs, orders to engines and settlement of the ledger.
package main

import (
	"context"
	"os"

	"github.com/poplarshore/poplarshore/internal/controld"
)

func main() {
	if err := controld.NewCommand().ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}
