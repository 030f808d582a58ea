// Command poplarshore is the operators' command line. Its exit codes are in package cli.
package main

import (
	"context"
	"os"

	"github.com/poplarshore/poplarshore/internal/cli"
)

func main() {
	os.Exit(cli.ExitCode(cli.New().ExecuteContext(context.Background())))
}
