// Command poplarshore-standin runs stand-ins of the systems that the router works with:
// engines, services, the platform and the older router. It is for development and tests
// only.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/poplarshore/poplarshore/standin/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command.New().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}
