// Command poplarshore-soak runs gateways as separate processes under injected faults and
// checks the responses to callers and the requests at upstreams. It is for development only.
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
