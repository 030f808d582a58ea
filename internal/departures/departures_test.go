package departures_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/roster"
	"github.com/poplarshore/poplarshore/internal/departures"
	"github.com/poplarshore/poplarshore/upstream"
)

func TestDepartures(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "departures")
}

// alone is the directory of a VM without peers.
type alone struct{}

func (alone) Peers() []roster.Peer { return nil }

var _ = Describe("Departures", func() {
	const id = upstream.ID("engine-1")

	DescribeTable("return an engine to service only after a load report made long enough after its departure", func(reviewedBefore bool, signs []roster.Update) {
		clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
		leaving := false
		d := departures.New(departures.Options{
			Self: "vm-1", Directory: alone{}, Clock: clock,
			VisibleUpstreams: func() []upstream.ID { return []upstream.ID{id} },
			SetLeaving:       func(_ upstream.ID, isLeaving bool) { leaving = isLeaving },
		}, prometheus.NewRegistry())
		reviewFor := func(duration time.Duration) {
			for end := clock.Now().Add(duration); clock.Now().Before(end); {
				clock.Advance(departures.ReviewPeriod)
				d.Review()
			}
		}
		if reviewedBefore {
			reviewFor(departures.ReviewPeriod)
			Expect(leaving).To(BeFalse())
		}
		if signs == nil {
			d.Leaving(id)
		}
		_, err := d.Gossip().HandleExchange(roster.Digest{From: "vm-2", Updates: signs})
		Expect(err).NotTo(HaveOccurred())
		d.Apply()
		Expect(leaving).To(BeTrue())
		d.Staying(id, clock.Now()) // too early: the report may lag behind the sign of leaving
		reviewFor(2 * departures.ReturnLag)
		Expect(leaving).To(BeTrue())
		d.Staying(id, clock.Now())
		reviewFor(departures.ReviewPeriod)
		Expect(leaving).To(BeFalse())
		_, err = d.Gossip().HandleExchange(roster.Digest{From: "vm-2", Updates: []roster.Update{
			{ID: roster.ID(id), Kind: roster.Departing, AgeMillis: (2 * departures.ReturnLag).Milliseconds()},
		}})
		Expect(err).NotTo(HaveOccurred())
		d.Apply()
		Expect(leaving).To(BeFalse(), "the sign predates the restart")
		d.Leaving(id)
		d.Apply()
		Expect(leaving).To(BeTrue())
		Expect(d.InForce()).To(Equal([]upstream.ID{id}))
	},
		Entry("sign seen by this VM", true, nil),
		Entry("sign seen by this VM before the first review", false, nil),
		Entry("sign seen by another VM", true, []roster.Update{{ID: roster.ID(id), Kind: roster.Departing}}),
	)
})
