// Command poplarshore-soak runs gateways as processes under injected faults and
// checks what callers and upstreams see.
package main

import (
	"os"

	"github.com/poplarshore/poplarshore/soak/command"
)

func main() {
	if command.New().Execute() != nil {
		os.Exit(1)
	}
}
