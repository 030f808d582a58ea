//go:build review

// Command standin2 runs the script of the case in review/7: gateways as processes on loopback, before stand-ins
// of the platform, engines and clients. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	argsCount = 3
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(b *bed, trouble bool) (bool, error){
	"refused": runRefused,
}

func main() {
	if len(os.Args) != argsCount || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE DIRECTORY")
		os.Exit(couldNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case with its record in a directory, without the disruption if TROUBLE is 0.
func run(runCase func(*bed, bool) (bool, error), dir string) int {
	b, err := newBed(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer b.close()
	wasBroken, err := runCase(b, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		b.record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	case wasBroken:
		return broken
	}
	return held
}
