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
	// readyTries and readyPause bound the wait for a change of readiness.
	readyTries = 400
	readyPause = 25 * time.Millisecond
)

// readiness returns the status that the balancer gets, after a pause.
func (s *state) readiness(ts *testscript.TestScript, id string) int {
	time.Sleep(readyPause)
	d := s.environment(ts).VM(vm.ID(id))
	if d == nil {
		ts.Fatalf("VM %q is not running", id)
	}
	resp, err := s.client.Get("http://" + d.OperatorsAddress() + "/readyz")
	if err != nil {
		return http.StatusServiceUnavailable
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// fault TARGET KIND [-count=N] [-after=PIECES] [-path=PATH] [-delay=MS]
// [-status=CODE] [-reused] injects a fault at an upstream, or at "platform".
func injectFault(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	args, flags := split(ts, args, "count", "after", "path", "delay", "status", "reused")
	need(ts, args, 2, "fault TARGET KIND [-count=N] [-after=PIECES] [-path=PATH] [-delay=MS] [-status=CODE] [-reused]")
	rule := fault.Rule{
		Kind: fault.Kind(args[1]), Count: number(ts, flags["count"]), AfterPieces: number(ts, flags["after"]),
		DelayMs: int64(number(ts, flags["delay"])), Status: number(ts, flags["status"]),
		Path: flags["path"], ReusedOnly: flags["reused"] != "",
	}
	ts.Check(of(ts).faults(ts, args[0]).Add(rule))
}

// heal TARGET... removes the faults of targets.
func heal(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	for _, target := range args {
		of(ts).faults(ts, target).Clear()
	}
}

func (s *state) faults(ts *testscript.TestScript, target string) *fault.Set {
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
	ts.Fatalf("%q is neither an engine, a service nor platform", target)
	return nil
}

func number(ts *testscript.TestScript, text string) int {
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		ts.Fatalf("%q is not a number", text)
	}
	return n
}

// runs UPSTREAM N checks how many attempts or calls an upstream has begun.
func runs(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 2, "runs UPSTREAM N")
	env, id := of(ts).environment(ts), upstream.ID(args[0])
	var got uint64
	switch {
	case env.Engines[id] != nil:
		got = env.Engines[id].Counts().Runs
	case env.Services[id] != nil:
		got = env.Services[id].Counts().Runs
	case env.OldRouter != nil && args[0] == "old-router":
		got = env.OldRouter.Counts().Requests
	default:
		ts.Fatalf("upstream %q does not exist", id)
	}
	if strconv.FormatUint(got, 10) != args[1] {
		ts.Fatalf("%s has begun %d", id, got)
	}
}

// refusals ENGINE N checks how often the engine refused work.
func refusals(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 2, "refusals ENGINE N")
	e := of(ts).environment(ts).Engines[upstream.ID(args[0])]
	if e == nil {
		ts.Fatalf("engine %q does not exist", args[0])
	}
	if got := strconv.FormatUint(e.Counts().Refused, 10); got != args[1] {
		ts.Fatalf("%s has refused %s", args[0], got)
	}
}

// atmostonce checks that no content was run twice by all plain services together.
func atMostOnce(ts *testscript.TestScript, neg bool, _ []string) {
	plain(ts, neg)
	total := make(map[string]int)
	for _, v := range of(ts).environment(ts).Services {
		for content, n := range v.Counts().Contents {
			total[content] += n
		}
	}
	for content, n := range total {
		if n > 1 {
			ts.Fatalf("%q ran %d times", content, n)
		}
	}
}
