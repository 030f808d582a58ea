// Command poplarshored serves callers on an entry VM.
package main

import (
	"context"
	"os"

	"github.com/poplarshore/poplarshore/internal/entryd"
)

func main() {
	if err := entryd.NewCommand().ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}
