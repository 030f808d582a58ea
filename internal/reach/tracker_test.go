package reach_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/reach"
	"github.com/poplarshore/poplarshore/reachability"
)

const service = "models"

// rig is a tracker with four upstreams.
type rig struct {
	*reach.Tracker
	clock   *clockwork.FakeClock
	reached bool
	// probes counts the probes, which may run at the same time.
	probes   atomic.Int64
	regained []string
}

var targets = []reach.Target{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}, {ID: "d", Address: "d:1"}}

func newRig() *rig {
	r := &rig{clock: clockwork.NewFakeClock()}
	r.Tracker = reach.New(reach.Options{
		Reachability: reachability.DefaultOptions(), Usable: func(string) []reach.Target { return targets },
		Probe: func(context.Context, string) error {
			r.probes.Add(1)
			if !r.reached {
				return errors.New("refused")
			}
			return nil
		},
		OnRegained: func(name string) { r.regained = append(r.regained, name) },
		Clock:      r.clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry(),
	})
	return r
}

// fail records that no upstream is reached, and waits.
func (r *rig) fail() {
	for _, target := range targets {
		r.Record(service, target.ID, reachability.NotConnected)
	}
	r.clock.Advance(time.Second)
}

func TestNothingIsProbedWhileUpstreamsAreReached(t *testing.T) {
	g := NewWithT(t)
	r := newRig()
	r.Record(service, "a", reachability.NotConnected)
	r.Record(service, "b", reachability.Received)
	r.Step(t.Context())
	g.Expect(r.probes.Load()).To(BeZero())
	g.Expect(r.Status(service).CutOff).To(BeFalse())
	g.Expect(r.Status("unknown").CutOff).To(BeFalse())
}

func TestOneProbeAStepWhileNothingIsReached(t *testing.T) {
	g := NewWithT(t)
	r := newRig()
	r.fail()
	g.Expect(r.Status(service).NoneReached()).To(BeTrue())
	r.Step(t.Context())
	r.Step(t.Context())
	g.Expect(r.probes.Load()).To(BeEquivalentTo(2))
	g.Expect(r.regained).To(BeEmpty())
}

func TestWayIsBackWithinOneStep(t *testing.T) {
	g := NewWithT(t)
	r := newRig()
	r.fail()
	r.Step(t.Context())
	r.reached = true
	r.Step(t.Context())
	g.Expect(r.Status(service).CutOff).To(BeFalse())
	g.Expect(r.regained).To(Equal([]string{service}))
}

// silence records that no upstream sent anything, and waits.
func (r *rig) silence() {
	for _, target := range targets {
		r.Record(service, target.ID, reachability.Silent)
	}
	r.clock.Advance(time.Second)
}

// Guards against requests that are refused or sent round while upstreams only pause.
func TestWayIsNotLostWhileSilentUpstreamsTakeConnections(t *testing.T) {
	g := NewWithT(t)
	r := newRig()
	r.reached = true
	r.silence()
	g.Expect(r.Status(service).CutOff).To(BeFalse())
	g.Expect(r.Status(service).InDoubt).To(BeTrue())
	r.Step(t.Context())
	g.Expect(r.Status(service).InDoubt).To(BeFalse())
	r.Step(t.Context())
	g.Expect(r.probes.Load()).To(BeNumerically("<=", reachability.DefaultOptions().MinUnreached))
}

func TestWayIsLostIfSilentUpstreamsTakeNoConnections(t *testing.T) {
	g := NewWithT(t)
	r := newRig()
	r.silence()
	r.Step(t.Context())
	g.Expect(r.Status(service).CutOff).To(BeTrue())
}
