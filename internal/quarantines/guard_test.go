package quarantines_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

// table is the store's table, with conditional writes. Down makes it refuse writes.
type table struct {
	row      watch.Row
	era      watch.Era
	down     bool
	writes   int
	onCommit func()
}

func (t *table) Commit(_ context.Context, c watch.Change) error {
	if t.down {
		return store.ErrUnavailable.New("down")
	}
	if c.Expected[0].Revision != t.row.Revision {
		return store.ErrConflict.New("revision %d", t.row.Revision)
	}
	t.writes++
	t.row = watch.Row{Key: c.Puts[0].Key, Value: c.Puts[0].Value, Revision: t.row.Revision + 1}
	if t.onCommit != nil {
		t.onCommit()
	}
	return nil
}

func (t *table) listing() watch.Batch {
	b := watch.Batch{At: t.row.Revision, Era: t.era}
	if t.row.Revision > 0 {
		b.Rows = []watch.Row{t.row}
	}
	return b
}

// fleet is the guards of some VMs, which share a clock, the table and messages.
type fleet struct {
	*WithT
	clock *clockwork.FakeClock
	start time.Time
	// timeUnknown makes the shared clock unknown.
	timeUnknown bool
	table       *table
	guards      []*quarantines.Guard
	// cut holds the VMs, by index, whose messages are lost in both directions.
	cut map[int]bool
	// messages are those that are on their way.
	messages []message
	digester *quarantine.Digester
	engines  int
}

// message is a message that a VM sent to all others.
type message struct {
	from int
	quarantines.Message
}

// deliver delivers the messages that are on their way.
func (f *fleet) deliver() {
	sent := f.messages
	f.messages = nil
	for _, m := range sent {
		for i, g := range f.guards {
			if i != m.from && !f.cut[i] && !f.cut[m.from] {
				g.Receive(m.Message)
			}
		}
	}
}

// Now implements quarantines.Clock.
func (f *fleet) Now() (time.Duration, bool) {
	return f.clock.Since(f.start) + time.Hour, !f.timeUnknown
}

func newFleet(t *testing.T, vms int) *fleet {
	clock := clockwork.NewFakeClock()
	f := &fleet{
		WithT: NewWithT(t), clock: clock, start: clock.Now(), table: &table{}, cut: make(map[int]bool),
		digester: quarantine.NewDigester("secret"),
	}
	f.table.onCommit = func() {
		for _, g := range f.guards {
			g.Change(f.table.listing())
		}
	}
	for range vms {
		f.addVM()
	}
	return f
}

// addVM starts a VM, which reads the table first.
func (f *fleet) addVM() *quarantines.Guard {
	index := len(f.guards)
	send := func(m quarantines.Message) { f.messages = append(f.messages, message{from: index, Message: m}) }
	g := quarantines.New(quarantines.Options{
		VM: vm.ID(fmt.Sprint("vm-", index)), Table: "t", Blame: quarantine.DefaultOptions(), SharedClock: f, Writer: f.table,
		Report: send, Broadcast: send, Rank: func() (int, int) { return index, len(f.guards) },
		Clock: f.clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry(),
	})
	g.Replace(f.table.listing())
	f.guards = append(f.guards, g)
	return g
}

// pass lets time pass in small steps.
func (f *fleet) pass(d time.Duration) {
	const step = 20 * time.Millisecond
	for range d / step {
		f.clock.Advance(step)
		for _, g := range f.guards {
			g.Step()
		}
		f.deliver()
		for _, g := range f.guards {
			g.Sync(context.Background())
		}
	}
}

func (f *fleet) keys(parts ...string) []quarantine.Key {
	var keys []quarantine.Key
	for _, p := range parts {
		keys = append(keys, f.digester.Part(p))
	}
	return keys
}

func (f *fleet) newEngine() quarantine.Incarnation {
	f.engines++
	return quarantine.Incarnation{Upstream: upstream.ID(fmt.Sprint("e-", f.engines))}
}

// begin begins an answer at a VM.
func (f *fleet) begin(vm int, of quarantine.Incarnation, parts ...string) *quarantines.Attempt {
	t := f.guards[vm].Begin(of, f.keys(parts...))
	t.BeginAnswer()
	return t
}

// crash ends a new engine under a request at a VM.
func (f *fleet) crash(vm int, parts ...string) {
	f.begin(vm, f.newEngine(), parts...).End(quarantines.Lost)
	f.pass(300 * time.Millisecond)
}

func (f *fleet) isExcluded(vm int, parts ...string) bool {
	_, excluded := f.guards[vm].Check(f.keys(parts...))
	return excluded
}

func TestCrashesOnDifferentVMsAddUp(t *testing.T) {
	f := newFleet(t, 4)
	for vm := range 3 {
		f.Expect(f.isExcluded(3, "bad")).To(BeFalse())
		f.crash(vm, "bad")
	}
	for vm := range 4 {
		f.Expect(f.isExcluded(vm, "bad")).To(BeTrue())
		f.Expect(f.isExcluded(vm, "sound")).To(BeFalse())
	}
	f.Expect(f.table.writes).To(Equal(1))
}

func TestAttemptThatWasDroppedBeforeTheCrashIsSuspected(t *testing.T) {
	f := newFleet(t, 2)
	for range 3 {
		engine := f.newEngine()
		f.begin(0, engine, "bad").End(quarantines.Abandoned)
		f.begin(1, engine, "beside").End(quarantines.Lost)
		f.pass(300 * time.Millisecond)
		f.begin(1, f.newEngine(), "beside").End(quarantines.Answered)
	}
	f.Expect(f.isExcluded(1, "bad")).To(BeTrue())
	f.Expect(f.isExcluded(0, "beside")).To(BeFalse())
}

func TestAttemptThatWasDroppedLongBeforeTheCrashIsNotSuspected(t *testing.T) {
	f := newFleet(t, 1)
	for range 4 {
		engine := f.newEngine()
		f.begin(0, engine, "dropped").End(quarantines.Abandoned)
		f.pass(2 * time.Second)
		f.begin(0, engine, "other").End(quarantines.Lost)
	}
	f.Expect(f.isExcluded(0, "dropped")).To(BeFalse())
}

func TestSoundAnswerOnAnotherVMClearsPart(t *testing.T) {
	f := newFleet(t, 3)
	for range 6 {
		f.crash(0, "shared")
		f.begin(2, f.newEngine(), "shared").End(quarantines.Answered)
		f.pass(300 * time.Millisecond)
	}
	f.Expect(f.isExcluded(0, "shared")).To(BeFalse())
}

func TestVMLearnsOfSoundAnswersOfOthersBeforeItDecides(t *testing.T) {
	for name, soundAt := range map[string]int{"before the last crash": 1, "between the crashes": 0} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			for i := range 3 {
				if i == 1+soundAt {
					f.begin(1, f.newEngine(), "shared").End(quarantines.Answered)
					f.pass(300 * time.Millisecond)
					f.cut[1], f.table.down = i == 2, i == 2
				}
				f.crash(0, "shared")
			}
			f.Expect(f.isExcluded(0, "shared")).To(BeFalse())
		})
	}
}

func TestVMTellsWhatItHadSeenAnsweredSoundly(t *testing.T) {
	f := newFleet(t, 2)
	f.begin(1, f.newEngine(), "shared").End(quarantines.Answered)
	f.crash(0, "shared")
	f.cut[1], f.table.down = true, true
	f.crash(0, "shared")
	f.crash(0, "shared")
	f.Expect(f.isExcluded(0, "shared")).To(BeFalse())
}

func TestLongAnswerClearsItsPartsWhileItGoesOn(t *testing.T) {
	f := newFleet(t, 1)
	f.crash(0, "shared")
	f.crash(0, "shared")
	answer := f.begin(0, f.newEngine(), "shared")
	f.pass(time.Second)
	answer.RecordEvent()
	f.crash(0, "shared")
	f.Expect(f.isExcluded(0, "shared")).To(BeFalse())
}

func TestVMThatStartsKnowsWhatIsKeptOut(t *testing.T) {
	f := newFleet(t, 2)
	for range 3 {
		f.crash(0, "bad")
	}
	f.addVM()
	f.Expect(f.isExcluded(2, "bad")).To(BeTrue())
}

func TestVMThatStartsKeepsOutBeforeItKnowsTheTime(t *testing.T) {
	f := newFleet(t, 2)
	for range 3 {
		f.crash(0, "bad")
	}
	f.timeUnknown = true
	f.addVM()
	f.Expect(f.isExcluded(2, "bad")).To(BeTrue())
}

func TestVMThatWasCutOffFromHintsLearnsFromTheTable(t *testing.T) {
	f := newFleet(t, 3)
	f.cut[2] = true
	for range 3 {
		f.crash(0, "bad")
	}
	f.Expect(f.isExcluded(2, "bad")).To(BeTrue())
}

func TestQuarantineIsInForceWhileTheStoreIsDownAndWrittenLater(t *testing.T) {
	f := newFleet(t, 3)
	f.table.down = true
	for range 3 {
		f.crash(0, "bad")
	}
	f.Expect(f.isExcluded(2, "bad")).To(BeTrue())
	f.table.down = false
	f.pass(3 * time.Second)
	f.addVM()
	f.Expect(f.isExcluded(3, "bad")).To(BeTrue())
}

func TestQuarantineLostByARestoreIsWrittenAgain(t *testing.T) {
	f := newFleet(t, 2)
	for range 3 {
		f.crash(0, "bad")
	}
	f.table.row, f.table.era = watch.Row{}, 1
	for _, g := range f.guards {
		g.Replace(f.table.listing())
	}
	f.Expect(f.isExcluded(0, "bad")).To(BeTrue())
	f.pass(2 * time.Second)
	f.addVM()
	f.Expect(f.isExcluded(2, "bad")).To(BeTrue())
}

// excludedEverywhere asks all VMs for the key and returns how many exclude it.
func (f *fleet) excludedAt(parts ...string) int {
	n := 0
	for vm := range f.guards {
		if f.isExcluded(vm, parts...) {
			n++
		}
	}
	return n
}

func TestOneProbeIsGrantedToAllVMsTogether(t *testing.T) {
	f := newFleet(t, 5)
	for range 3 {
		f.crash(0, "bad")
	}
	f.pass(70 * time.Second)
	f.Expect(f.excludedAt("bad")).To(Equal(5))
	f.pass(2 * time.Second)
	sent := 0
	for range 20 {
		for vm := range f.guards {
			if !f.isExcluded(vm, "bad") {
				sent++
				f.begin(vm, f.newEngine(), "bad").End(quarantines.Lost)
			}
		}
		f.pass(time.Second)
	}
	f.Expect(sent).To(Equal(1))
}

func TestSoundProbeLiftsQuarantineEverywhere(t *testing.T) {
	f := newFleet(t, 3)
	for range 3 {
		f.crash(0, "bad")
	}
	f.pass(70 * time.Second)
	f.Expect(f.excludedAt("bad")).To(Equal(3))
	f.pass(2 * time.Second)
	for vm := range f.guards {
		if !f.isExcluded(vm, "bad") {
			f.begin(vm, f.newEngine(), "bad").End(quarantines.Answered)
			break
		}
	}
	f.pass(2 * time.Second)
	f.Expect(f.excludedAt("bad")).To(Equal(0))
	f.addVM()
	f.Expect(f.excludedAt("bad")).To(Equal(0))
}

func TestVMThatKnowsASoundAnswerObjects(t *testing.T) {
	f := newFleet(t, 3)
	f.cut[2] = true
	f.crash(0, "shared")
	f.crash(0, "shared")
	f.begin(2, f.newEngine(), "shared").End(quarantines.Answered)
	f.crash(0, "shared")
	f.pass(2 * time.Second)
	f.cut[2] = false
	f.pass(2 * time.Second)
	f.Expect(f.excludedAt("shared")).To(Equal(0))
}

func TestOperatorsLiftHoldsEverywhereUntilNewCrashes(t *testing.T) {
	f := newFleet(t, 3)
	for range 3 {
		f.crash(0, "bad")
	}
	f.Expect(f.guards[1].Lift(f.keys("bad")[0], "operator")).To(BeTrue())
	f.pass(2 * time.Second)
	f.Expect(f.excludedAt("bad")).To(Equal(0))
	f.Expect(f.guards[1].Lift(f.keys("bad")[0], "operator")).To(BeFalse())
	for range 3 {
		f.crash(2, "bad")
	}
	f.Expect(f.excludedAt("bad")).To(Equal(3))
}

func TestRequestThatIsExcludedIsToldWhenToReturn(t *testing.T) {
	f := newFleet(t, 1)
	for range 3 {
		f.crash(0, "bad")
	}
	x, excluded := f.guards[0].Check(f.keys("route", "bad"))
	f.Expect(excluded).To(BeTrue())
	f.Expect(x.Key).To(Equal(f.keys("bad")[0]))
	f.Expect(x.RetryAfter).To(BeNumerically("~", time.Minute, time.Second))
	f.Expect(x.Evidence).To(HaveLen(3))
}

// request returns the key of a whole request.
func (f *fleet) request(path string) []quarantine.Key {
	return []quarantine.Key{f.digester.Request(quarantine.Request{Method: "GET", Target: path})}
}

func TestRequestIsHeldBackAfterTwoCrashesAndKeptOutAfterThree(t *testing.T) {
	f := newFleet(t, 3)
	deadly := f.request("/deadly")
	crash := func(vm int) {
		attempt := f.guards[vm].Begin(f.newEngine(), deadly)
		attempt.BeginAnswer()
		attempt.End(quarantines.Lost)
		f.pass(300 * time.Millisecond)
	}
	crash(0)
	_, excluded := f.guards[2].Check(deadly)
	f.Expect(excluded).To(BeFalse())
	crash(1)
	held, excluded := f.guards[2].Check(deadly)
	f.Expect(excluded).To(BeTrue())
	f.Expect(held.Held).To(BeTrue())
	f.Expect(held.RetryAfter).To(BeNumerically("<=", 3*time.Second))
	f.pass(4 * time.Second)
	_, excluded = f.guards[2].Check(deadly)
	f.Expect(excluded).To(BeFalse())
	crash(2)
	kept, excluded := f.guards[0].Check(deadly)
	f.Expect(excluded).To(BeTrue())
	f.Expect(kept.Held).To(BeFalse())
}

func TestLostConnectionsToUpstreamsThatGoOnAreNoCrashes(t *testing.T) {
	f := newFleet(t, 2)
	for range 5 {
		engine := f.newEngine()
		f.begin(0, engine, "unlucky").End(quarantines.Lost)
		f.pass(300 * time.Millisecond)
		f.begin(1, engine, "other").End(quarantines.Answered)
		f.pass(100 * time.Millisecond)
	}
	f.Expect(f.excludedAt("unlucky")).To(Equal(0))
}
