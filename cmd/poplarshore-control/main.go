// Command poplarshore-control holds jobs of an environment: roll-outs, orders
// to engines and ledger settlement.
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
