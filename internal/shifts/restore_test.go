package shifts_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

// snapshot is a copy of the table.
type snapshot struct {
	rows     map[string]watch.Row
	revision watch.Revision
}

func (t *table) snapshot() snapshot { return snapshot{maps.Clone(t.rows), t.revision} }

// restore replaces the table with an older copy and begins a new era. Revisions are
// assigned again.
func (t *table) restore(s snapshot) {
	t.rows, t.revision, t.log = maps.Clone(s.rows), s.revision, nil
	t.era++
	for _, r := range t.rows {
		t.log = append(t.log, r)
	}
}

// stateIn returns the state in the row of an era.
func (f *fleet) stateIn(era watch.Era) shift.State {
	var s shift.State
	f.Expect(json.Unmarshal(f.table.rows[fmt.Sprintf("shift/s/%d", era)].Value, &s)).To(Succeed())
	return s
}

// currentState returns the state in the row of the current era.
func (f *fleet) currentState() shift.State {
	if f.table.era == 0 {
		return f.state()
	}
	return f.stateIn(f.table.era)
}

// orderAt orders a roll-out of v2 with the given position of its row.
func (f *fleet) orderAt(era, id int64) {
	for _, m := range f.vms {
		m.Order(shift.Order{Era: era, ID: id, Service: "s", To: "v2", Duration: 20 * time.Second})
	}
}

// revert lets the VMs find v2 bad in the middle of its roll-out.
func (f *fleet) revert() {
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 400, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 6, outcome("v2", 0, true))
	f.advance(2 * time.Second)
}

// TestBadVersionStaysStoppedWhenStoreLosesRollout restores the store from a copy made
// before the order. The VMs keep the verdict and write it again, also for a VM that
// starts then, and the order that operators write again is not a new one.
func TestBadVersionStaysStoppedWhenStoreLosesRollout(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.advance(time.Second)
	before := f.table.snapshot()
	f.order()
	f.revert()
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.table.restore(before)
	f.advance(3 * time.Second)
	f.Expect(f.stateIn(1).Phase).To(Equal(shift.Reverted))
	f.orderAt(1, 1)
	f.advance(3 * time.Second)
	f.Expect(f.stateIn(1).Phase).To(Equal(shift.Reverted))
	f.Expect(f.stateIn(1).Order.Era).To(BeEquivalentTo(1))

	restarted := newFleet(t, "c")
	restarted.table, restarted.clock, restarted.startedAt = f.table, f.clock, f.startedAt
	m := restarted.vms[0]
	m.Replace(f.table.batch())
	m.Order(shift.Order{Era: 1, ID: 1, Service: "s", To: "v2", Duration: 20 * time.Second})
	f.Expect(m.Allowed("s", 0)("v2")).To(BeFalse())
}

// TestSameRequestLongAfterRestoreIsNewOrder checks that operators can try a reverted
// version again once the lost writes are back.
func TestSameRequestLongAfterRestoreIsNewOrder(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.revert()
	before := f.table.snapshot()
	f.table.restore(before)
	f.orderAt(1, 1)
	f.advance(15 * time.Second)
	f.Expect(f.stateIn(1).Phase).To(Equal(shift.Reverted))
	f.orderAt(1, 40)
	f.advance(2 * time.Second)
	f.Expect(f.stateIn(1).Phase).To(Equal(shift.Active))
}

// TestOlderOrderThatReturnsIsIgnored restores the store from a copy that holds the order
// before the newest one.
func TestOlderOrderThatReturnsIsIgnored(t *testing.T) {
	f := newFleet(t, "a")
	f.vms[0].Order(shift.Order{ID: 1, Service: "s", To: "v0", Duration: 20 * time.Second})
	f.advance(time.Second)
	before := f.table.snapshot()
	f.vms[0].Order(shift.Order{ID: 2, Service: "s", To: "v2", Duration: 20 * time.Second})
	f.revert()
	f.table.restore(before)
	f.vms[0].Change(f.table.batch())
	f.vms[0].Order(shift.Order{Era: 1, ID: 1, Service: "s", To: "v0", Duration: 20 * time.Second})
	f.advance(3 * time.Second)
	f.Expect(f.stateIn(1).Order.To).To(BeEquivalentTo("v2"))
	f.Expect(f.stateIn(1).Phase).To(Equal(shift.Reverted))
}

// TestLateWriteOfEarlierEraChangesNoCurrentRow performs a write whose outcome was unknown
// after the restore, when its expected revision has been assigned again.
func TestLateWriteOfEarlierEraChangesNoCurrentRow(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.order()
	f.advance(time.Second)
	before := f.table.snapshot()
	late := watch.Change{
		Expected: []watch.Expect{{Table: "own", Key: "shift/s", Revision: f.table.rows["shift/s"].Revision}},
		Puts:     []watch.Put{{Table: "own", Key: "shift/s", Value: f.table.rows["shift/s"].Value}},
	}
	f.revert()
	f.table.restore(before)
	f.advance(3 * time.Second)
	f.Expect(f.table.Commit(context.Background(), late)).To(Succeed())
	f.advance(3 * time.Second)
	f.Expect(f.stateIn(1).Phase).To(Equal(shift.Reverted))
	f.Expect(f.vms[1].Allowed("s", 0)("v2")).To(BeFalse())
}

// TestRestoresNeverBringBadVersionBack draws histories of a roll-out of a bad version,
// copies and restores of the store, and VMs that see changes late. Once a VM has stopped
// the version, it must not use it again, and in the end all VMs and the row agree.
func TestRestoresNeverBringBadVersionBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, "a", "b", "c")
		f.WithT = NewWithT(rt)
		copies := []snapshot{f.table.snapshot()}
		orderID := int64(1)
		f.orderAt(0, orderID)
		stopped := make(map[int]bool)
		check := func() {
			for i, m := range f.vms {
				allowed := m.Allowed("s", 0)("v2")
				if stopped[i] && allowed {
					rt.Fatalf("VM %d uses the bad version again in era %d", i, f.table.era)
				}
				stopped[i] = !allowed
			}
		}
		f.advance(11 * time.Second)
		f.recordOutcomes(0, 400, outcome("v1", usualGap, false))
		f.recordOutcomes(0, 6, outcome("v2", 0, true))
		f.vms[0].Tick(context.Background())
		check()
		f.Expect(stopped[0]).To(BeTrue())
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"copy", "restore", "time", "some see"}).Draw(rt, "step") {
			case "copy":
				copies = append(copies, f.table.snapshot())
			case "restore":
				f.table.restore(rapid.SampledFrom(copies).Draw(rt, "copy"))
				copies = []snapshot{f.table.snapshot()}
				if rapid.Bool().Draw(rt, "order written again at once") {
					f.orderAt(int64(f.table.era), orderID)
				}
			case "time":
				f.advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "ticks")) * 100 * time.Millisecond)
			case "some see":
				i := rapid.IntRange(0, 2).Draw(rt, "VM")
				f.clock.Advance(300 * time.Millisecond)
				f.vms[i].Tick(context.Background())
				f.vms[i].Change(f.table.batch())
			}
			check()
		}
		f.orderAt(int64(f.table.era), orderID)
		f.advance(5 * time.Second)
		f.Expect(f.currentState().Phase).To(Equal(shift.Reverted))
		for i, m := range f.vms {
			f.Expect(m.Allowed("s", 0)("v2")).To(BeFalse(), "VM %d", i)
		}
	})
}
