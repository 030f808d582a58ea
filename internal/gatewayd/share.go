package gatewayd

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/loadshare"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/settings"
)

// sharesReports reports whether the settings call for decisions that need other VMs' reports.
func sharesReports(s *settings.Gateway) bool {
	return s.LoadControl.AnswerEnd || s.LoadControl.Admission
}

// newShareCounter registers and returns the counter of what becomes of shared reports. Its
// outcomes are sent, received and malformed (messages), and used, stale and unknown (entries of
// received messages).
func newShareCounter(registry prometheus.Registerer) *prometheus.CounterVec {
	counts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_shared_reports_total",
		Help: "Messages between VMs about what upstreams reported, and their entries, by what became of them.",
	}, []string{"outcome"})
	registry.MustRegister(counts)
	return counts
}

// shareReports tells random VMs of the region what upstreams reported, until ctx is done.
func (d *Daemon) shareReports(ctx context.Context) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var sender loadshare.Sender
	for {
		timer := d.clock.NewTimer(loadshare.NextRound(rng))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
			d.shareRound(&sender, rng)
		}
	}
}

// shareRound sends one message if this VM knows something new.
func (d *Daemon) shareRound(sender *loadshare.Sender, rng *rand.Rand) {
	inRegion := d.vms.Filter(func(m members.Member) bool {
		return m.Hints.IsValid() && d.regionOf(m.Domain) == d.settings.VM.Region
	})
	message := d.directory.SharedReports()
	if len(inRegion) == 0 || !sender.Select(&message, d.clock.Now()) {
		return
	}
	var to []netip.AddrPort
	for _, m := range loadshare.Recipients(rng, inRegion) {
		to = append(to, m.Hints)
	}
	d.hints.Announce(hints.Hint{Reports: message.Encode(), To: to})
	d.shareCounts.WithLabelValues("sent").Add(float64(len(to)))
}

// receiveReports merges the shared reports of another VM, encoded by package loadshare. They are
// ignored unless the settings call for them.
func (d *Daemon) receiveReports(encoded []byte) {
	if !sharesReports(d.settings) {
		return
	}
	message, err := loadshare.Decode(encoded)
	if err != nil {
		d.shareCounts.WithLabelValues("malformed").Inc()
		d.log.Debug("ignoring malformed shared reports of another VM", "error", err)
		return
	}
	d.shareCounts.WithLabelValues("received").Inc()
	merged := d.directory.MergeReports(message)
	d.shareCounts.WithLabelValues("used").Add(float64(merged.Used))
	d.shareCounts.WithLabelValues("stale").Add(float64(merged.Stale))
	d.shareCounts.WithLabelValues("unknown").Add(float64(merged.Unknown))
}
