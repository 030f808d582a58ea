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

// entryVM is a VM with what it has been told.
type entryVM struct {
	id        vm.ID
	domain    domain.ID
	guard     *rollout.Guard
	withdrawn map[model.VersionID]bool
}

func (v *entryVM) isWithdrawn(id model.VersionID) bool { return v.withdrawn[id] }

// holder is a control process with the row it read last.
type holder struct {
	read    bool
	row     rollout.Progress
	version int
}

// world is the table's row, all rows that were ever written, the VMs, and two
// processes that both believe to hold the job.
type world struct {
	plan      rollout.Plan
	now       time.Time
	row       rollout.Progress
	version   int
	published []rollout.Progress
	vms       []*entryVM
	holders   [2]holder
	withdrawn map[model.VersionID]bool
	rounds    int
}

func newWorld() *world {
	w := &world{plan: plan(), now: start, withdrawn: map[model.VersionID]bool{}}
	w.row = rollout.Begin(w.plan, w.now)
	w.published = []rollout.Progress{w.row}
	for i, d := range []domain.ID{"a", "a", "b", "c"} {
		v := &entryVM{id: vm.ID(fmt.Sprint(i)), domain: d, withdrawn: map[model.VersionID]bool{}}
		v.guard = rollout.NewGuard(w.plan, w.row, v.id, v.domain, rollout.GuardOptions{})
		w.vms = append(w.vms, v)
	}
	return w
}

func (w *world) holder(t *rapid.T) *holder {
	return &w.holders[rapid.IntRange(0, 1).Draw(t, "holder")]
}

func (w *world) vm(t *rapid.T) *entryVM {
	return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
}

func (w *world) input(row rollout.Progress) rollout.Input {
	in := rollout.Input{
		Plan: w.plan, Row: row, Now: w.now, Domains: []domain.ID{"a", "b", "c"},
		Withdrawn: func(id model.VersionID) bool { return w.withdrawn[id] },
	}
	for _, v := range w.vms {
		in.Reports = append(in.Reports, v.guard.Report(w.now))
	}
	return in
}

// write is a compare-and-swap that checks what no write may do.
func (w *world) write(t *rapid.T, h *holder, next rollout.Progress) {
	if h.version != w.version {
		return
	}
	before := w.row
	switch {
	case next.Generation != before.Generation+1:
		t.Fatalf("generation went from %d to %d", before.Generation, next.Generation)
	case before.Phase == rollout.RolledBack:
		t.Fatalf("a rolled back row was changed to %+v", next)
	case before.Phase == rollout.Done && next.Phase == rollout.Running:
		t.Fatalf("a finished roll-out runs again")
	case next.Step < before.Step || next.Step > before.Step+1:
		t.Fatalf("step went from %d to %d", before.Step, next.Step)
	}
	w.row, w.version = next, w.version+1
	w.published = append(w.published, next)
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"read": func(t *rapid.T) {
			h := w.holder(t)
			h.read, h.row, h.version = true, w.row, w.version
		},
		"die": func(t *rapid.T) { *w.holder(t) = holder{} },
		"decide": func(t *rapid.T) {
			h := w.holder(t)
			if !h.read {
				return
			}
			decision := rollout.Decide(w.input(h.row), rollout.Options{MinRatings: -1})
			if again := rollout.Decide(w.input(h.row), rollout.Options{MinRatings: -1}); !again.Row.Equal(decision.Row) {
				t.Fatalf("decided %+v, then %+v", decision, again)
			}
			if decision.Changed {
				// The reply may be lost: the holder goes on with its old row.
				w.write(t, h, decision.Row)
			}
		},
		"deliver": func(t *rapid.T) {
			v := w.vm(t)
			before := v.guard.Row().Generation
			v.guard.Install(rapid.SampledFrom(w.published).Draw(t, "row"))
			if v.guard.Row().Generation < before {
				t.Fatalf("VM %s went back from generation %d", v.id, before)
			}
		},
		"restart": func(t *rapid.T) {
			v := w.vm(t)
			v.guard = rollout.NewGuard(w.plan, w.row, v.id, v.domain, rollout.GuardOptions{})
			for id := range w.withdrawn {
				v.withdrawn[id] = true
			}
		},
		"withdraw": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "often") == 0 {
				w.withdrawn[rapid.SampledFrom([]model.VersionID{"v1", "v2"}).Draw(t, "version")] = true
			}
		},
		"learn of withdrawals": func(t *rapid.T) {
			v := w.vm(t)
			for id := range w.withdrawn {
				v.withdrawn[id] = true
			}
		},
		"serve": func(t *rapid.T) {
			v := w.vm(t)
			failed := rapid.IntRange(0, 4).Draw(t, "bad") == 0
			for range 100 {
				v.guard.Ended("v1", false, time.Second)
				v.guard.Ended("v2", failed, time.Second)
			}
		},
		"wait": func(t *rapid.T) { w.now = w.now.Add(time.Minute) },
		"":     w.check,
	}
}

// check tells whether any VM would give new work, or keep sessions, where it
// knows better.
func (w *world) check(t *rapid.T) {
	w.rounds++
	for _, v := range w.vms {
		version, err := v.guard.Assign(fmt.Sprint("session", w.rounds), v.isWithdrawn)
		if err != nil {
			if !v.withdrawn["v1"] || !v.withdrawn["v2"] {
				t.Fatalf("VM %s gives no version: %v", v.id, err)
			}
			continue
		}
		if v.withdrawn[version] {
			t.Fatalf("VM %s gives the withdrawn version %s", v.id, version)
		}
		row := v.guard.Row()
		_, stopped := v.guard.Stopped()
		bad := stopped || row.Phase == rollout.RolledBack || row.StoppedIn(v.domain)
		if version == "v2" && bad && !v.withdrawn["v1"] {
			t.Fatalf("VM %s gives the stopped version; row %+v", v.id, row)
		}
		if bad && !v.withdrawn["v1"] && v.guard.Serves("v2", v.isWithdrawn) {
			t.Fatalf("VM %s keeps sessions on the stopped version", v.id)
		}
	}
}

var _ = Describe("any interleaving of two holders, lost replies, restarts and late rows", func() {
	It("never goes back, and never serves a version that the VM knows to be stopped or withdrawn", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { t.Repeat(newWorld().actions()) })
	})
})
