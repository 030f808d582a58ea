// Command poplarshore-measure runs load tests of the system against stand-ins on loopback
// and saves the results. It is for development only.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/poplarshore/poplarshore/measure/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command.New().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}
