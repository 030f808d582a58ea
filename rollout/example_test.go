package rollout_test

import (
	"fmt"
	"time"

	"github.com/poplarshore/poplarshore/rollout"
)

// The guard of a VM stops a failing version on that VM. Decide then rolls the version
// back for all VMs.
func ExampleDecide() {
	now := time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)
	p := rollout.Plan{ID: "r", Model: "draft", From: "v1", To: "v2", Steps: []rollout.Step{{Share: 0.05, DwellSeconds: 600}, {Share: 1}}}
	row := rollout.Begin(p, now)
	guard := rollout.NewGuard(p, row, "vm1", "a", rollout.GuardOptions{})
	for range 500 {
		guard.RecordAttempt("v1", false, time.Second)
	}
	for range 8 {
		guard.RecordAttempt("v2", true, time.Second)
	}
	verdict, stopped := guard.Stopped()
	fmt.Println(stopped, verdict.Metric)

	members := []rollout.Member{{VM: "vm1", Domain: "a"}}
	decision := rollout.Decide(rollout.Input{
		Plan: p, Row: row, Now: now,
		Domains: rollout.DomainsOf(members),
		Reports: rollout.ReconcileReports([]rollout.Report{guard.Report(now)}, members, now),
	}, rollout.Options{})
	fmt.Println(decision.Kind, decision.Reason, decision.Row.Phase)

	guard.Install(decision.Row)
	version, err := guard.Assign("session", nil)
	fmt.Println(version, err)
	// Output:
	// true errors
	// roll_back bad rolled_back
	// v1 <nil>
}
