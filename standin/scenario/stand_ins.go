package scenario

import (
	"strconv"
	"time"

	"net/http"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	// maxReadyPolls and readyPollInterval limit the wait for a change of readiness to 10 s.
	maxReadyPolls     = 400
	readyPollInterval = 25 * time.Millisecond
)

// readinessStatus waits for one poll interval and returns the HTTP status of the VM's /readyz, or 503 if
// the VM doesn't answer.
func (s *state) readinessStatus(ts *testscript.TestScript, id string) int {
	time.Sleep(readyPollInterval)
	daemon := s.environment(ts).VM(vm.ID(id))
	if daemon == nil {
		ts.Fatalf("VM %q is not running", id)
	}
	resp, err := s.client.Get("http://" + daemon.OperatorsAddress() + "/readyz")
	if err != nil {
		return http.StatusServiceUnavailable
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// injectFault implements the command
//
//	fault TARGET KIND [-count=N] [-after=PIECES] [-path=PATH] [-delay=MS] [-status=CODE] [-reused]
//
// It injects a fault at an engine, a plain service or the platform ("platform"). The flags set the
// fields of fault.Rule; -reused limits the fault to reused connections.
func injectFault(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	args, flags := parseFlags(ts, args, "count", "after", "path", "delay", "status", "reused")
	requireArgs(ts, args, 2, "fault TARGET KIND [-count=N] [-after=PIECES] [-path=PATH] [-delay=MS] [-status=CODE] [-reused]")
	rule := fault.Rule{
		Kind: fault.Kind(args[1]), Count: parseNumber(ts, flags["count"]), AfterPieces: parseNumber(ts, flags["after"]),
		DelayMs: int64(parseNumber(ts, flags["delay"])), Status: parseNumber(ts, flags["status"]),
		Path: flags["path"], ReusedOnly: flags["reused"] != "",
	}
	ts.Check(stateOf(ts).faultsOf(ts, args[0]).Add(rule))
}

// clearFaults implements the command
//
//	heal TARGET...
//
// It removes all faults of the targets.
func clearFaults(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	for _, target := range args {
		stateOf(ts).faultsOf(ts, target).Clear()
	}
}

// faultsOf returns the faults of an engine, a plain service or "platform".
func (s *state) faultsOf(ts *testscript.TestScript, target string) *fault.Set {
	env := s.environment(ts)
	id := upstream.ID(target)
	switch {
	case target == "platform":
		return env.Platform.Faults
	case env.Engines[id] != nil:
		return env.Engines[id].Faults
	case env.Services[id] != nil:
		return env.Services[id].Faults
	}
	ts.Fatalf("%q is not an engine, a service or \"platform\"", target)
	return nil
}

// parseNumber parses a decimal number. The empty text, an absent flag, is 0.
func parseNumber(ts *testscript.TestScript, text string) int {
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		ts.Fatalf("%q is not a number", text)
	}
	return n
}

// checkRuns implements the command
//
//	runs UPSTREAM N
//
// It checks the number of attempts or calls that an upstream has started, or the number of requests
// that the older router ("old-router") has served.
func checkRuns(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 2, "runs UPSTREAM N")
	env, id := stateOf(ts).environment(ts), upstream.ID(args[0])
	var runCount uint64
	switch {
	case env.Engines[id] != nil:
		runCount = env.Engines[id].Counts().Runs
	case env.Services[id] != nil:
		runCount = env.Services[id].Counts().Runs
	case env.OldRouter != nil && args[0] == "old-router":
		runCount = env.OldRouter.Counts().Requests
	default:
		ts.Fatalf("upstream %q does not exist", id)
	}
	if strconv.FormatUint(runCount, 10) != args[1] {
		ts.Fatalf("unexpected count: %s has started %d", id, runCount)
	}
}

// checkRefusals implements the command
//
//	refusals ENGINE N
//
// It checks the number of requests that an engine has refused.
func checkRefusals(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 2, "refusals ENGINE N")
	e := stateOf(ts).environment(ts).Engines[upstream.ID(args[0])]
	if e == nil {
		ts.Fatalf("engine %q does not exist", args[0])
	}
	if got := strconv.FormatUint(e.Counts().Refused, 10); got != args[1] {
		ts.Fatalf("unexpected count: engine %s has refused %s requests", args[0], got)
	}
}

// checkAtMostOnce implements the command
//
//	atmostonce
//
// It checks that no request content was executed more than once, counted over all plain services.
func checkAtMostOnce(ts *testscript.TestScript, neg bool, _ []string) {
	rejectNegation(ts, neg)
	runsByContent := make(map[string]int)
	for _, service := range stateOf(ts).environment(ts).Services {
		for content, n := range service.Counts().RunsByBody {
			runsByContent[content] += n
		}
	}
	for content, n := range runsByContent {
		if n > 1 {
			ts.Fatalf("content %q was executed %d times, expected at most once", content, n)
		}
	}
}
