package quarantines_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/quarantine"
)

// takeSent returns the messages that were sent and not delivered, and forgets them.
func (f *fleet) takeSent() []quarantines.Message {
	var sent []quarantines.Message
	for _, m := range f.messages {
		sent = append(sent, m.Message)
	}
	f.messages = nil
	return sent
}

// step lets time pass without delivering messages.
func (f *fleet) step(d time.Duration) {
	f.clock.Advance(d)
	for _, g := range f.guards {
		g.Step()
	}
}

// TestLossAtUpstreamThatWentOnIsKeptBack guards against a report of each connection that an
// upstream resets while it goes on answering.
func TestLossAtUpstreamThatWentOnIsKeptBack(t *testing.T) {
	f := newFleet(t, 1)
	engine := f.newEngine()
	f.begin(0, engine, "a").End(quarantines.Lost)
	f.step(200 * time.Millisecond)
	f.begin(0, engine, "b").End(quarantines.Answered)
	f.step(20 * time.Millisecond)
	f.step(300 * time.Millisecond)
	f.takeSent()
	for range 5 {
		f.begin(0, engine, "c").End(quarantines.Lost)
		f.step(200 * time.Millisecond)
		f.begin(0, engine, "d").End(quarantines.Answered)
		f.step(200 * time.Millisecond)
	}
	f.Expect(f.takeSent()).To(BeEmpty())
}

// TestLossAtUpstreamThatThenEndsIsReported guards against a crash that is never told because
// the upstream had gone on after an earlier loss.
func TestLossAtUpstreamThatThenEndsIsReported(t *testing.T) {
	f := newFleet(t, 2)
	engine := f.newEngine()
	f.begin(0, engine, "a").End(quarantines.Lost)
	f.pass(300 * time.Millisecond)
	f.begin(1, engine, "b").End(quarantines.Answered)
	f.pass(300 * time.Millisecond)
	f.begin(0, engine, "bad").End(quarantines.Lost)
	f.pass(2 * time.Second)
	f.crash(0, "bad")
	f.crash(0, "bad")
	f.Expect(f.excludedAt("bad")).To(Equal(2))
}

// TestVMThatPassesOnTellsOnceWhatManyTold guards against a VM that passes on each of the
// answers of many VMs to the same crash.
func TestVMThatPassesOnTellsOnceWhatManyTold(t *testing.T) {
	f := newFleet(t, 1)
	now, _ := f.Now()
	engine := f.newEngine()
	region := quarantines.Spread{Region: true}
	crash := quarantine.Crash{Incarnation: engine, At: now, Suspects: []quarantine.Suspect{{Keys: f.keys("bad"), Begun: true}}}
	for range 10 {
		f.guards[0].Receive(quarantines.Message{Crashes: []quarantine.Crash{crash}, Spread: region})
		f.guards[0].Receive(quarantines.Message{Sound: []quarantines.Sound{{Key: f.keys("sound")[0], At: now}}, Spread: region})
		f.step(20 * time.Millisecond)
	}
	later := now + time.Second
	for range 10 {
		f.guards[0].Receive(quarantines.Message{Alive: []quarantines.Alive{{Incarnation: engine, At: later}}, Spread: region})
		f.step(20 * time.Millisecond)
	}
	crashes, sound, alive := 0, 0, 0
	for _, m := range f.takeSent() {
		crashes, sound, alive = crashes+len(m.Crashes), sound+len(m.Sound), alive+len(m.Alive)
	}
	f.Expect([]int{crashes, sound, alive}).To(Equal([]int{1, 1, 1}))
}

// TestMessageOfOlderBuildIsPassedOnToAll guards against evidence of VMs of older builds that
// reaches only those that pass it on.
func TestMessageOfOlderBuildIsPassedOnToAll(t *testing.T) {
	f := newFleet(t, 1)
	now, _ := f.Now()
	crash := quarantine.Crash{Incarnation: f.newEngine(), At: now, Suspects: []quarantine.Suspect{{Keys: f.keys("bad"), Begun: true}}}
	f.guards[0].Receive(quarantines.Message{Crashes: []quarantine.Crash{crash}, ForAll: true})
	f.step(20 * time.Millisecond)
	f.Expect(f.takeSent()).To(HaveLen(1))
}

// TestSoundAnswerIsNotToldOfUpstreamThatWentOn guards against answers to a crash that has
// turned out to be none.
func TestSoundAnswerIsNotToldOfUpstreamThatWentOn(t *testing.T) {
	f := newFleet(t, 2)
	engine := f.newEngine()
	f.begin(0, engine, "unlucky").End(quarantines.Lost)
	f.pass(300 * time.Millisecond)
	f.begin(1, engine, "other").End(quarantines.Answered)
	f.pass(300 * time.Millisecond)
	f.begin(1, f.newEngine(), "unlucky").End(quarantines.Answered)
	f.step(20 * time.Millisecond)
	for _, m := range f.takeSent() {
		f.Expect(m.Sound).To(BeEmpty())
	}
}
