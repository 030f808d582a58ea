package gatewayd

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/loadshare"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/vm"
)

// newSharingDaemon returns a daemon that was not started but exchanges hints until the end of the
// test. It knows the upstream "u".
func newSharingDaemon(t *testing.T, id vm.ID, clock clockwork.Clock, load settings.LoadControl) *Daemon {
	s := settings.DefaultGateway()
	s.VM = settings.VM{ID: id, Domain: "d1", Region: "r1"}
	s.Regions = map[domain.ID]domain.Region{"d1": "r1", "d2": "r2"}
	s.LoadControl = load
	d := New(s, io.Discard, clock)
	var err error
	d.hints, err = hints.Open("127.0.0.1:0", d.vms, s.VM.Region, d.regionOf, d.applyHint, d.log, d.hintCounts)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	for _, loop := range []func(context.Context){d.hints.Send, d.hints.Receive} {
		go func() {
			loop(ctx)
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		d.hints.Close()
		<-done
		<-done
	})
	d.directory.Replace([]engines.Entry{{ID: "u", Service: "s", Address: "u:1", Domain: "d1", Capacity: 10}})
	return d
}

// introduce tells a daemon of another one in the given failure domain.
func introduce(t *testing.T, to, other *Daemon, in domain.ID) {
	value, err := json.Marshal(members.Member{Hints: other.hints.Address(), Domain: in})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	to.vms.Change(watch.Batch{Rows: []watch.Row{{Key: members.Prefix + string(other.settings.VM.ID), Value: value}}})
}

// shared returns the number of an outcome of shared reports.
func shared(d *Daemon, outcome string) float64 {
	response := httptest.NewRecorder()
	promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}).ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	_, rest, found := strings.Cut(response.Body.String(), `poplarshore_shared_reports_total{outcome="`+outcome+`"} `)
	if !found {
		return 0
	}
	value, _, _ := strings.Cut(rest, "\n")
	n, _ := strconv.ParseFloat(value, 64)
	return n
}

func TestReportReachesOtherVMOfRegion(t *testing.T) {
	for name, load := range map[string]settings.LoadControl{"answer end": {AnswerEnd: true}, "admission": {Admission: true}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			a, b, far := newSharingDaemon(t, "a", clock, load), newSharingDaemon(t, "b", clock, load), newSharingDaemon(t, "c", clock, load)
			introduce(t, a, b, "d1")
			introduce(t, a, far, "d2")
			a.directory.ForService("s")[0].UpdateLoad(route.Load{Running: 5})
			var sender loadshare.Sender
			rng := rand.New(rand.NewPCG(1, 1))
			a.shareRound(&sender, rng)
			g.Eventually(func() float64 { return shared(b, "used") }).Should(BeEquivalentTo(1))
			g.Expect(b.directory.ForService("s")[0].Utilization()).To(BeNumerically("~", 0.5, 0.01))
			clock.Advance(time.Second)
			a.shareRound(&sender, rng)
			g.Expect(shared(a, "sent")).To(BeEquivalentTo(1), "nothing new, and nothing to another region")
			g.Expect(shared(far, "received")).To(BeZero())
		})
	}
}

// TestReportsAreSharedOnlyWithSettings guards against traffic and decisions that the settings
// don't call for, and against messages that harm a VM without the settings, or with others.
func TestReportsAreSharedOnlyWithSettings(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	off, on := newSharingDaemon(t, "off", clock, settings.LoadControl{SlowStart: true}), newSharingDaemon(t, "on", clock, settings.LoadControl{AnswerEnd: true})
	introduce(t, off, on, "d1")
	off.directory.ForService("s")[0].UpdateLoad(route.Load{Running: 5})
	on.directory.ForService("s")[0].UpdateLoad(route.Load{Running: 5})
	off.shareRound(new(loadshare.Sender), rand.New(rand.NewPCG(1, 1)))
	g.Expect(shared(off, "sent")).To(BeZero())
	message := on.directory.SharedReports()
	off.applyHint(hints.Hint{Reports: message.Encode()})
	g.Expect(shared(off, "received")).To(BeZero())
	on.applyHint(hints.Hint{Reports: []byte{0xff}})
	g.Expect(shared(on, "malformed")).To(BeEquivalentTo(1))
}

// TestOlderBuildIgnoresReports guards against a message that an older build takes for a hint on
// an upstream.
func TestOlderBuildIgnoresReports(t *testing.T) {
	g := NewWithT(t)
	encoded, err := json.Marshal(hints.Hint{Reports: []byte{1, 0}})
	g.Expect(err).NotTo(HaveOccurred())
	var older struct {
		Upstream   string          `json:"upstream"`
		WorkMS     int64           `json:"work_ms"`
		Silent     bool            `json:"silent"`
		Full       bool            `json:"full"`
		Limit      *float64        `json:"limit"`
		Fragile    *bool           `json:"fragile"`
		Quarantine json.RawMessage `json:"quarantine"`
	}
	g.Expect(json.Unmarshal(encoded, &older)).To(Succeed())
	g.Expect(older).To(BeZero())
}
