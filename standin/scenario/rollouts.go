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
	// awaitTries and awaitPause bound the wait for a state of a VM.
	awaitTries = 1200
	awaitPause = 25 * time.Millisecond
)

// control VM@DOMAIN starts a control process with short periods.
func control(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 1, "control VM@DOMAIN")
	ts.Check(of(ts).environment(ts).StartControl(vmOf(ts, args[0], nil), func(s *settings.Control) {
		s.Jobs.LoadsPerMinute, s.Jobs.LongestOrderMS = 6000, 10_000
		s.Jobs.LeaseTTLMS, s.Jobs.RolloutPeriodMS, s.Jobs.SettlePeriodMS, s.Jobs.OrderPeriodMS = 1000, 50, 100, 100
	}))
}

// await waits until the status of a VM satisfies the condition.
func (s *state) await(ts *testscript.TestScript, id, what string, ok func(entryd.Status) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTries*awaitPause)
	defer cancel()
	d := s.environment(ts).VM(vm.ID(id))
	if d == nil {
		ts.Fatalf("VM %q is not running", id)
	}
	for !ok(d.Status()) {
		select {
		case <-ctx.Done():
			ts.Fatalf("VM %q never showed %s: %+v", id, what, d.Status())
		case <-time.After(awaitPause):
		}
	}
}

// stopped VM MODEL@VERSION waits until the VM has stopped a version as bad.
func stopped(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 2, "stopped VM MODEL@VERSION")
	of(ts).await(ts, args[0], "the stop of "+args[1], func(s entryd.Status) bool {
		for _, ref := range s.Stopped {
			if ref.String() == args[1] {
				return true
			}
		}
		return false
	})
}

// leaving VM UPSTREAM waits until the VM gives the upstream no new work.
func leaving(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 2, "leaving VM UPSTREAM")
	of(ts).await(ts, args[0], "the leaving of "+args[1], func(s entryd.Status) bool {
		return slices.Contains(s.Leaving, upstream.ID(args[1]))
	})
}

// stopcontrol stops all control processes as planned.
func stopControl(ts *testscript.TestScript, neg bool, _ []string) {
	plain(ts, neg)
	of(ts).environment(ts).StopControls()
}

// rollout VM ID PHASE waits until the VM knows that a roll-out is in a phase, or
// on the step "step=N".
func rolloutPhase(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 3, "rollout VM ID PHASE")
	of(ts).await(ts, args[0], "roll-out "+args[1]+" "+args[2], func(s entryd.Status) bool {
		for _, r := range s.Rollouts {
			step := "step=" + strconv.Itoa(r.Step)
			if r.ID == rollout.ID(args[1]) && (r.Phase == rollout.Phase(args[2]) || step == args[2]) {
				return true
			}
		}
		return false
	})
}

// loaded ENGINE MODEL@VERSION waits until an engine has loaded a version.
func loaded(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 2, "loaded ENGINE MODEL@VERSION")
	e := of(ts).environment(ts).Engines[upstream.ID(args[0])]
	if e == nil {
		ts.Fatalf("engine %q does not exist", args[0])
	}
	for range awaitTries {
		for _, v := range e.Load().Versions {
			if v.Loaded && v.Model+"@"+v.Version == args[1] {
				return
			}
		}
		time.Sleep(awaitPause)
	}
	ts.Fatalf("%s never loaded %s", args[0], args[1])
}

// totals VM ACCOUNT N waits until the settled ledger has billed N requests to a
// client account, and checks that it bills no more.
func totals(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 3, "totals VM ACCOUNT N")
	want := int64(number(ts, args[2]))
	var got ledger.Totals
	for range awaitTries {
		operate(ts, false, []string{"ledger", "totals", args[1], "--operators", "@" + args[0], "--token-file", "@token"})
		if json.Unmarshal([]byte(ts.ReadFile("out")), &got) == nil && got.Requests >= want {
			break
		}
		time.Sleep(awaitPause)
	}
	if got.Requests != want {
		ts.Fatalf("%d requests are billed to %s", got.Requests, args[1])
	}
}
