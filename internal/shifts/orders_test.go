package shifts_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout/shift"
	"github.com/poplarshore/poplarshore/vm"
)

// orderDuration is the duration of the orders.
const orderDuration = 20 * time.Second

// orderVersion orders a roll-out of a version at all VMs.
func (f *fleet) orderVersion(id int64, to model.VersionID) {
	for _, m := range f.vms {
		m.Order(shift.Order{ID: id, Service: "s", To: to, Duration: orderDuration})
	}
}

// expectWithdrawn expects that no VM lets a session use a version.
func (f *fleet) expectWithdrawn(v model.VersionID) {
	for i, m := range f.vms {
		for _, position := range []float64{0, 0.5, 0.999} {
			f.Expect(m.Allowed("s", position)(v)).To(BeFalse(), "VM %d, position %g, version %s", i, position, v)
		}
	}
}

// restart replaces a VM by one that reads the table and the newest order.
func (f *fleet) restart(i int, id string, newest shift.Order) {
	f.addVM(id)
	last := len(f.vms) - 1
	f.vms[i] = f.vms[last]
	f.vms = f.vms[:last]
	f.vms[i].Replace(f.table.batch())
	f.vms[i].Order(newest)
}

// Guards against sessions that use a version which was reverted while its upstreams are still there.
func TestNextOrderDoesNotBringRevertedVersionBack(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.order()
	f.revert()
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.orderVersion(2, "v3")
	f.expectWithdrawn("v2")
	f.Expect(f.vms[0].Allowed("s", 0.9)("v1")).To(BeTrue())
	f.advance(11 * time.Second)
	f.Expect(f.state().Order.To).To(BeEquivalentTo("v3"))
	f.expectWithdrawn("v2")
	f.restart(0, "c", shift.Order{ID: 2, Service: "s", To: "v3", Duration: orderDuration})
	f.expectWithdrawn("v2")
}

func TestOrderMayNameWithdrawnVersion(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.revert()
	f.orderVersion(2, "v3")
	f.advance(orderDuration + 2*time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted), "no requests, no proof")
	f.orderVersion(3, "v2")
	f.advance(11 * time.Second)
	f.Expect(f.state().Step).To(Equal(1))
	f.Expect(f.vms[0].Allowed("s", 0)("v2")).To(BeTrue())
	f.expectWithdrawn("v3")
}

// Guards against a second roll-out of a version after operators wrote its order again, as they got no response to
// the first write.
func TestRepeatedOrderIsTheSameOrder(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.order()
	f.advance(11 * time.Second)
	before := f.state()
	f.Expect(before.Step).To(Equal(1))
	f.orderVersion(2, "v2")
	f.advance(time.Second)
	after := f.state()
	f.Expect(after.Started).To(Equal(before.Started))
	f.Expect(after.Step).To(Equal(1))
	f.Expect(after.Order.ID).To(BeEquivalentTo(2))
	f.Expect(f.vms[0].Allowed("s", 0)("v2")).To(BeTrue())

	f.recordOutcomes(0, 400, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 6, outcome("v2", 0, true))
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.orderVersion(3, "v2")
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.expectWithdrawn("v2")
}

func TestOrderOfCompletedVersionChangesNothing(t *testing.T) {
	f := newFleet(t, "a")
	f.completeShift()
	f.advance(time.Minute)
	f.orderVersion(2, "v2")
	for range 20 {
		f.Expect(f.vms[0].Allowed("s", 0.9)("v2")).To(BeTrue())
		f.Expect(f.vms[0].Allowed("s", 0.9)("v1")).To(BeFalse())
		f.advance(100 * time.Millisecond)
	}
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
	f.Expect(f.state().Order.ID).To(BeEquivalentTo(2))
}

// completeShift orders v2 and lets its shift complete on good answers.
func (f *fleet) completeShift() {
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 25, outcome("v2", usualGap, false))
	f.advance(9 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
}

// maxRemembered is the number of withdrawn versions that a state remembers.
const maxRemembered = 4

// orderHistory is a random history of orders for a fleet.
type orderHistory struct {
	*fleet
	newest   shift.Order
	restarts int
	// reverted holds the versions that a state in the table showed as reverted, with the number of other versions
	// ordered since.
	reverted map[model.VersionID]int
}

// write writes an order, which some VMs miss for now.
func (h *orderHistory) write(rt *rapid.T, to model.VersionID) {
	if to != h.newest.To {
		for v := range h.reverted {
			h.reverted[v]++
		}
	}
	h.newest = shift.Order{ID: h.newest.ID + 1, Service: "s", To: to, Duration: orderDuration}
	for _, m := range h.vms {
		if rapid.Bool().Draw(rt, "reaches the VM") {
			m.Order(h.newest)
		}
	}
}

// deliver delivers the newest order and the table to all VMs.
func (h *orderHistory) deliver() {
	for _, m := range h.vms {
		m.Order(h.newest)
	}
	h.advance(time.Second)
}

// note notes the reverted version if the state in the table shows one.
func (h *orderHistory) note() {
	var s shift.State
	if json.Unmarshal(h.table.rows["shift/s"].Value, &s) != nil {
		return
	}
	if s.Phase == shift.Reverted {
		h.reverted[s.Order.To] = 0
	}
}

// revertNewest lets a VM find the newest version bad once some sessions use it.
func (h *orderHistory) revertNewest() {
	h.deliver()
	h.advance(11 * time.Second)
	h.recordOutcomes(0, 400, outcome("v1", usualGap, false))
	h.recordOutcomes(0, 6, outcome(h.newest.To, 0, true))
}

// step performs a random event.
func (h *orderHistory) step(rt *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(rt, "event") {
	case 0:
		h.write(rt, model.VersionID(fmt.Sprintf("v%d", h.newest.ID+2)))
	case 1:
		h.write(rt, h.newest.To)
	case 2:
		h.revertNewest()
	case 3:
		h.restarts++
		h.restart(rapid.IntRange(0, len(h.vms)-1).Draw(rt, "VM"), fmt.Sprintf("restarted-%d", h.restarts), h.newest)
	case 4:
		h.advance(time.Duration(rapid.IntRange(1, 120).Draw(rt, "time")) * 100 * time.Millisecond)
	}
}

// Whatever the orders, repeated ones, restarts and answers are, no VM that has read the table lets a session use a
// version that was reverted and is not ordered again.
func TestOrdersNeverBringRevertedVersionBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &orderHistory{fleet: newFleet(t, "a", "b", vm.ID("c")), reverted: make(map[model.VersionID]int)}
		h.WithT = NewWithT(rt)
		h.write(rt, "v2")
		for range rapid.IntRange(1, 12).Draw(rt, "events") {
			h.step(rt)
			h.deliver()
			h.note()
			for v, ordered := range h.reverted {
				if v != h.newest.To && ordered <= maxRemembered {
					h.expectWithdrawn(v)
				}
			}
		}
	})
}
