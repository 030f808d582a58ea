package scenario

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/internal/entryd"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	// maxAwaitPolls and awaitPollInterval limit the wait for a state of a VM, an engine or the ledger
	// to 30 s.
	maxAwaitPolls     = 1200
	awaitPollInterval = 25 * time.Millisecond
)

// startControl implements the command
//
//	control VM@DOMAIN
//
// It starts a control process with periods short enough for a script and a high limit on engine loads.
func startControl(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 1, "control VM@DOMAIN")
	ts.Check(stateOf(ts).environment(ts).StartControl(parseVM(ts, args[0], nil), func(s *settings.Control) {
		s.Jobs.LoadsPerMinute, s.Jobs.LongestOrderMS = 6000, 10_000
		s.Jobs.LeaseTTLMS, s.Jobs.RolloutPeriodMS, s.Jobs.SettlePeriodMS, s.Jobs.OrderPeriodMS = 1000, 50, 100, 100
	}))
}

// awaitStatus waits until the status of a VM satisfies the condition. The script fails if it doesn't in
// time; the message names the condition by its description.
func (s *state) awaitStatus(ts *testscript.TestScript, id, description string, condition func(entryd.Status) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), maxAwaitPolls*awaitPollInterval)
	defer cancel()
	daemon := s.environment(ts).VM(vm.ID(id))
	if daemon == nil {
		ts.Fatalf("VM %q is not running", id)
	}
	for !condition(daemon.Status()) {
		select {
		case <-ctx.Done():
			ts.Fatalf("VM %q did not reach the expected state in time (%s); its status: %+v", id, description, daemon.Status())
		case <-time.After(awaitPollInterval):
		}
	}
}

// awaitStopped implements the command
//
//	stopped VM MODEL@VERSION
//
// It waits until the VM itself has stopped the use of a version that fails.
func awaitStopped(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 2, "stopped VM MODEL@VERSION")
	stateOf(ts).awaitStatus(ts, args[0], "stop of version "+args[1], func(s entryd.Status) bool {
		for _, ref := range s.StoppedVersions {
			if ref.String() == args[1] {
				return true
			}
		}
		return false
	})
}

// awaitLeaving implements the command
//
//	leaving VM UPSTREAM
//
// It waits until the VM regards the upstream as leaving and sends it no new work.
func awaitLeaving(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 2, "leaving VM UPSTREAM")
	stateOf(ts).awaitStatus(ts, args[0], "leaving upstream "+args[1], func(s entryd.Status) bool {
		return slices.Contains(s.LeavingUpstreams, upstream.ID(args[1]))
	})
}

// stopControl implements the command
//
//	stopcontrol
//
// It stops all control processes gracefully.
func stopControl(ts *testscript.TestScript, neg bool, _ []string) {
	rejectNegation(ts, neg)
	stateOf(ts).environment(ts).StopControls()
}

// awaitRolloutPhase implements the command
//
//	rollout VM ID PHASE
//
// It waits until the VM reports the roll-out in the phase or, if PHASE has the form "step=N", at that
// step.
func awaitRolloutPhase(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 3, "rollout VM ID PHASE")
	stateOf(ts).awaitStatus(ts, args[0], "roll-out "+args[1]+" "+args[2], func(s entryd.Status) bool {
		for _, r := range s.Rollouts {
			step := "step=" + strconv.Itoa(r.Step)
			if r.ID == rollout.ID(args[1]) && (r.Phase == rollout.Phase(args[2]) || step == args[2]) {
				return true
			}
		}
		return false
	})
}

// awaitLoaded implements the command
//
//	loaded ENGINE MODEL@VERSION
//
// It waits until an engine has loaded a version.
func awaitLoaded(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 2, "loaded ENGINE MODEL@VERSION")
	e := stateOf(ts).environment(ts).Engines[upstream.ID(args[0])]
	if e == nil {
		ts.Fatalf("engine %q does not exist", args[0])
	}
	for range maxAwaitPolls {
		for _, v := range e.Load().Versions {
			if v.Loaded && v.Model+"@"+v.Version == args[1] {
				return
			}
		}
		time.Sleep(awaitPollInterval)
	}
	ts.Fatalf("engine %s did not load %s in time", args[0], args[1])
}

// awaitTotals implements the command
//
//	totals VM ACCOUNT N
//
// It waits until the settled ledger has billed N requests to a client account, and fails if it has
// billed more.
func awaitTotals(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 3, "totals VM ACCOUNT N")
	wantRequests := int64(parseNumber(ts, args[2]))
	var billed ledger.Totals
	for range maxAwaitPolls {
		runOperatorCommand(ts, false, []string{"ledger", "totals", args[1], "--operators", "@" + args[0], "--token-file", "@token"})
		if json.Unmarshal([]byte(ts.ReadFile("out")), &billed) == nil && billed.Requests >= wantRequests {
			break
		}
		time.Sleep(awaitPollInterval)
	}
	if billed.Requests != wantRequests {
		ts.Fatalf("unexpected total: %d requests are billed to account %s", billed.Requests, args[1])
	}
}
