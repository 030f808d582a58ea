package rollout_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/vm"
)

// entryVM is a VM with the rows and withdrawals that have reached it.
type entryVM struct {
	id        vm.ID
	domain    domain.ID
	guard     *rollout.Guard
	withdrawn map[model.VersionID]bool
}

func (v *entryVM) isWithdrawn(id model.VersionID) bool { return v.withdrawn[id] }

// holder is a control process with the row that it last read.
type holder struct {
	hasRead    bool
	row        rollout.Progress
	rowVersion int
}

// cluster models the row in the table, all rows ever written, the VMs, and two
// control processes that both act as holder of the roll-out job.
type cluster struct {
	plan        rollout.Plan
	now         time.Time
	row         rollout.Progress
	rowVersion  int
	writtenRows []rollout.Progress
	vms         []*entryVM
	holders     [2]holder
	withdrawn   map[model.VersionID]bool
	checks      int
}

func newCluster() *cluster {
	c := &cluster{plan: plan(), now: start, withdrawn: map[model.VersionID]bool{}}
	c.row = rollout.Begin(c.plan, c.now)
	c.writtenRows = []rollout.Progress{c.row}
	for i, d := range []domain.ID{"a", "a", "b", "c"} {
		v := &entryVM{id: vm.ID(fmt.Sprint(i)), domain: d, withdrawn: map[model.VersionID]bool{}}
		v.guard = rollout.NewGuard(c.plan, c.row, v.id, v.domain, rollout.GuardOptions{})
		c.vms = append(c.vms, v)
	}
	return c
}

func (c *cluster) holder(t *rapid.T) *holder {
	return &c.holders[rapid.IntRange(0, 1).Draw(t, "holder")]
}

func (c *cluster) vm(t *rapid.T) *entryVM {
	return c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(t, "vm")]
}

func (c *cluster) input(row rollout.Progress) rollout.Input {
	in := rollout.Input{
		Plan: c.plan, Row: row, Now: c.now, Domains: []domain.ID{"a", "b", "c"},
		Withdrawn: func(id model.VersionID) bool { return c.withdrawn[id] },
	}
	for _, v := range c.vms {
		in.Reports = append(in.Reports, v.guard.Report(c.now))
	}
	return in
}

// write is a compare-and-swap of the row. It fails the test if the new row moves back,
// skips a step or a generation, or changes a row that was rolled back.
func (c *cluster) write(t *rapid.T, h *holder, next rollout.Progress) {
	if h.rowVersion != c.rowVersion {
		return
	}
	before := c.row
	switch {
	case next.Generation != before.Generation+1:
		t.Fatalf("generation went from %d to %d", before.Generation, next.Generation)
	case before.Phase == rollout.RolledBack:
		t.Fatalf("rolled-back row changed to %+v", next)
	case before.Phase == rollout.Done && next.Phase == rollout.Running:
		t.Fatalf("finished roll-out went back to running")
	case next.Step < before.Step || next.Step > before.Step+1:
		t.Fatalf("step went from %d to %d", before.Step, next.Step)
	}
	c.row, c.rowVersion = next, c.rowVersion+1
	c.writtenRows = append(c.writtenRows, next)
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"read": func(t *rapid.T) {
			h := c.holder(t)
			h.hasRead, h.row, h.rowVersion = true, c.row, c.rowVersion
		},
		"die": func(t *rapid.T) { *c.holder(t) = holder{} },
		"decide": func(t *rapid.T) {
			h := c.holder(t)
			if !h.hasRead {
				return
			}
			decision := rollout.Decide(c.input(h.row), rollout.Options{MinRatings: -1})
			if repeated := rollout.Decide(c.input(h.row), rollout.Options{MinRatings: -1}); !repeated.Row.Equal(decision.Row) {
				t.Fatalf("same input, different decisions: %+v, then %+v", decision, repeated)
			}
			if decision.Changed {
				// The holder continues with the row that it read, as it does if the
				// reply to the write is lost.
				c.write(t, h, decision.Row)
			}
		},
		"deliver": func(t *rapid.T) {
			v := c.vm(t)
			before := v.guard.Row().Generation
			v.guard.Install(rapid.SampledFrom(c.writtenRows).Draw(t, "row"))
			if v.guard.Row().Generation < before {
				t.Fatalf("VM %s replaced the row of generation %d by an older one", v.id, before)
			}
		},
		"restart": func(t *rapid.T) {
			v := c.vm(t)
			v.guard = rollout.NewGuard(c.plan, c.row, v.id, v.domain, rollout.GuardOptions{})
			for id := range c.withdrawn {
				v.withdrawn[id] = true
			}
		},
		"withdraw": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "often") == 0 {
				c.withdrawn[rapid.SampledFrom([]model.VersionID{"v1", "v2"}).Draw(t, "version")] = true
			}
		},
		"notify VM of withdrawals": func(t *rapid.T) {
			v := c.vm(t)
			for id := range c.withdrawn {
				v.withdrawn[id] = true
			}
		},
		"serve": func(t *rapid.T) {
			v := c.vm(t)
			failed := rapid.IntRange(0, 4).Draw(t, "bad") == 0
			for range 100 {
				v.guard.RecordAttempt("v1", false, time.Second)
				v.guard.RecordAttempt("v2", failed, time.Second)
			}
		},
		"wait": func(t *rapid.T) { c.now = c.now.Add(time.Minute) },
		"":     c.check,
	}
}

// check fails the test if a VM assigns new sessions to, or keeps sessions on, a version
// that it knows to be stopped or withdrawn.
func (c *cluster) check(t *rapid.T) {
	c.checks++
	for _, v := range c.vms {
		version, err := v.guard.Assign(fmt.Sprint("session", c.checks), v.isWithdrawn)
		if err != nil {
			if !v.withdrawn["v1"] || !v.withdrawn["v2"] {
				t.Fatalf("VM %s assigns no version, although one is not withdrawn: %v", v.id, err)
			}
			continue
		}
		if v.withdrawn[version] {
			t.Fatalf("VM %s assigns the withdrawn version %s", v.id, version)
		}
		row := v.guard.Row()
		_, stopped := v.guard.Stopped()
		bad := stopped || row.Phase == rollout.RolledBack || row.StoppedIn(v.domain)
		if version == "v2" && bad && !v.withdrawn["v1"] {
			t.Fatalf("VM %s assigns the stopped version; row %+v", v.id, row)
		}
		if bad && !v.withdrawn["v1"] && v.guard.Serves("v2", v.isWithdrawn) {
			t.Fatalf("VM %s keeps sessions on the stopped version", v.id)
		}
	}
}

var _ = Describe("any interleaving of two holders, lost replies, restarts and delayed rows", func() {
	It("never moves the row back, and never serves a version that the VM knows to be stopped or withdrawn", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { t.Repeat(newCluster().actions()) })
	})
})
