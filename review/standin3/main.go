// Command standin3 plays the scripts of the third review: gateways as processes, before stand-ins of the platform's store,
// of engines and of clients. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

// Results of a case, as exit statuses.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	usageText = "usage: standin3 CASE DIR BINARY"
)

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(b *bed, binary string, trouble bool) (bool, error){
	"slow-upload": playSlowUpload,
	"entry":       playForeignEntry,
	"config":      playConfig,
	"order":       playOrder,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, usageText)
		return couldNot
	}
	b, err := newBed(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer b.close()
	b.closeOnSignal()
	isBroken, err := cases[args[0]](b, args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		b.note("could not run: %v", err)
		return couldNot
	case isBroken:
		b.note("the rule was broken")
		return broken
	}
	b.note("the rule held")
	return held
}
