//go:build review

// Command standin plays the cases of the review that can't be put as a day for the bench: it starts
// gateways as processes before a stand-in of the platform, of its engines and of its clients, and judges
// what these saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(b *bed, trouble bool) (bool, error){
	"foreign-entry": foreignEntry,
	"encoded-slash": encodedSlash,
}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/poplarshored", "path of poplarshored")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *binary, *record, *trouble))
}

// play plays a case and returns its exit code.
func play(name, binary, record string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	b, err := newBed(binary, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		b.close()
		os.Exit(exitNotRun)
	}()
	b.note("case %s, disruption: %t, %s", name, trouble, time.Now().UTC().Format(time.RFC3339))
	broken, err := run(b, trouble)
	switch {
	case err != nil:
		b.note("could not run: %v", err)
		return exitNotRun
	case broken:
		b.note("the rule was broken")
		return exitBroken
	}
	b.note("the rule held")
	return exitHeld
}
