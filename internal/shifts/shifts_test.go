package shifts_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout/shift"
	"github.com/poplarshore/poplarshore/vm"
)

// table is the shared table; each VM's manager follows it by hand.
type table struct {
	rows     map[string]watch.Row
	revision watch.Revision
	log      []watch.Row
	fail     error
	writes   int
}

func (t *table) Commit(_ context.Context, c watch.Change) error {
	t.writes++
	if t.fail != nil {
		return t.fail
	}
	for _, e := range c.Expected {
		if t.rows[e.Key].Revision != e.Revision {
			return store.ErrConflict.New("row %q", e.Key)
		}
	}
	t.revision++
	for _, p := range c.Puts {
		t.rows[p.Key] = watch.Row{Key: p.Key, Value: p.Value, Revision: t.revision}
		t.log = append(t.log, t.rows[p.Key])
	}
	return nil
}

// fleet is VMs with their managers.
type fleet struct {
	*WithT
	table *table
	clock *clockwork.FakeClock
	began time.Time
	vms   []*shifts.Manager
}

func (f *fleet) Now() (time.Duration, bool) { return f.clock.Since(f.began), true }

func newFleet(t *testing.T, vms ...vm.ID) *fleet {
	f := &fleet{WithT: NewWithT(t), table: &table{rows: make(map[string]watch.Row)}, clock: clockwork.NewFakeClock()}
	f.began = f.clock.Now()
	for _, id := range vms {
		m := shifts.New(shifts.Options{
			VM: id, Table: "own", VMs: func() int { return 3 }, Plan: shift.DefaultPlan(), Shared: f, Writer: f.table, Clock: f.clock,
			Announce: func(shift.State) ([]watch.Put, error) { return nil, nil },
			Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		m.Replace(nil)
		f.vms = append(f.vms, m)
	}
	return f
}

// pass lets time pass, with ticks of all VMs and news to all of them.
func (f *fleet) pass(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		f.clock.Advance(100 * time.Millisecond)
		for _, m := range f.vms {
			m.Tick(context.Background())
			m.Change(f.table.log)
		}
	}
}

func (f *fleet) order() {
	for _, m := range f.vms {
		m.Order(shift.Order{ID: 1, Service: "s", To: "v2", Duration: 20 * time.Second})
	}
}

func (f *fleet) state() shift.State {
	var s shift.State
	f.Expect(json.Unmarshal(f.table.rows["shift/s"].Value, &s)).To(Succeed())
	return s
}

func outcome(v model.VersionID, gap time.Duration, failed bool) shifts.Outcome {
	return shifts.Outcome{
		Attempt: shifts.Attempt{Service: "s", Version: v, Kind: "m", PromptTokens: 100},
		Failed:  failed, Whole: !failed, First: 100 * time.Millisecond, Gap: gap,
	}
}

func (f *fleet) ended(vm, n int, o shifts.Outcome) {
	for range n {
		f.vms[vm].Ended(o)
	}
}

const usual = 50 * time.Millisecond

func TestOneVMTakesEachStepAndAllFollow(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.order()
	f.Expect(f.vms[0].Allowed("s", 0)("v2")).To(BeFalse())
	f.pass(2 * time.Second)
	f.Expect(f.table.rows).To(HaveLen(1))
	f.Expect(f.state().Phase).To(Equal(shift.Active))
	f.pass(9 * time.Second)
	f.Expect(f.state().Step).To(Equal(1))
	for _, m := range f.vms {
		f.Expect(m.Allowed("s", 0.1)("v2")).To(BeTrue())
		f.Expect(m.Allowed("s", 0.1)("v1")).To(BeFalse())
		f.Expect(m.Allowed("s", 0.9)("v2")).To(BeFalse())
	}
	f.ended(1, 5, outcome("v2", usual, false))
	f.pass(9 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
	f.Expect(f.vms[2].Allowed("s", 0.9)("v1")).To(BeFalse())
}

func TestFailuresSeenByFewEachStopTheVersionForAll(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.order()
	f.pass(11 * time.Second)
	for i := range f.vms {
		f.ended(i, 40, outcome("v1", usual, false))
		f.ended(i, 3, outcome("v2", usual, false))
		f.ended(i, 2, outcome("v2", 0, true))
	}
	f.pass(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	for _, m := range f.vms {
		f.Expect(m.Allowed("s", 0)("v2")).To(BeFalse())
	}
}

func TestABadVersionIsStoppedHereWhileTheStoreIsAway(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.pass(11 * time.Second)
	f.table.fail = store.ErrUnavailable.New("away")
	f.ended(0, 40, outcome("v1", usual, false))
	f.ended(0, 6, outcome("v2", 0, true))
	f.pass(200 * time.Millisecond)
	f.Expect(f.vms[0].Allowed("s", 0)("v2")).To(BeFalse())
	f.Expect(f.state().Phase).To(Equal(shift.Active))
	f.table.fail = nil
	f.pass(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
}

func TestStreamsThatGoOnTooSlowlySpeakAgainstTheirVersion(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.ended(0, 40, outcome("v1", usual, false))
	f.pass(11 * time.Second)
	f.ended(0, 40, outcome("v1", usual, false))
	fresh := outcome("v2", 0, false).Attempt
	f.Expect(f.vms[0].SlowSilence(fresh)).To(BeNumerically(">", usual))
	f.Expect(f.vms[0].Slow(fresh, 2*usual)).To(BeFalse())
	for range 6 {
		f.Expect(f.vms[0].Slow(fresh, 8*usual)).To(BeTrue())
	}
	f.pass(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
}

func TestWhatAnUpstreamIsToBlameForIsTakenBack(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.ended(0, 40, outcome("v1", usual, false))
	f.pass(11 * time.Second)
	f.ended(0, 40, outcome("v1", usual, false))
	fresh := outcome("v2", 0, false).Attempt
	for range 6 {
		f.vms[0].Slow(fresh, 8*usual)
		f.vms[0].Retract(fresh)
	}
	f.pass(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Active))
}

func TestARestartedVMTakesUpTheShiftWhereItStands(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.order()
	f.pass(11 * time.Second)
	restarted := newFleet(t, "a")
	restarted.table, restarted.clock, restarted.began = f.table, f.clock, f.began
	m := restarted.vms[0]
	m.Replace(f.table.log)
	m.Order(shift.Order{ID: 1, Service: "s", To: "v2", Duration: 20 * time.Second})
	f.Expect(m.Allowed("s", 0)("v2")).To(BeTrue())
}

func TestALaterOrderBeginsAnew(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.pass(11 * time.Second)
	f.ended(0, 40, outcome("v1", usual, false))
	f.ended(0, 6, outcome("v2", 0, true))
	f.pass(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.vms[0].Order(shift.Order{ID: 2, Service: "s", To: "v3", Duration: 20 * time.Second})
	f.Expect(f.vms[0].Allowed("s", 0)("v3")).To(BeFalse())
	f.pass(12 * time.Second)
	f.Expect(f.state().Order.To).To(BeEquivalentTo("v3"))
	f.Expect(f.vms[0].Allowed("s", 0)("v3")).To(BeTrue())
}

func TestFewWritesInCalm(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.order()
	f.pass(9 * time.Second)
	f.Expect(f.table.writes).To(BeNumerically("<=", 3))
}

// A version that was found bad on few answers is reverted, also where good
// answers of the old version, which come before this VM's turn to write, make
// the evidence look weaker.
func TestAVersionOnceFoundBadIsReverted(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.pass(11 * time.Second)
	f.Expect(f.state().Step).To(Equal(1))
	f.ended(0, 400, outcome("v1", usual, false))
	f.ended(0, 2, outcome("v2", usual, true))
	f.table.fail = store.ErrUnavailable.New("away")
	f.pass(200 * time.Millisecond)
	f.Expect(f.vms[0].Allowed("s", 0)("v2")).To(BeFalse())
	f.ended(0, 20_000, outcome("v1", usual, false))
	f.table.fail = nil
	f.pass(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.Expect(f.state().Verdict.Bad).To(BeTrue())
}
