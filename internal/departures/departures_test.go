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

// alone is the directory of a VM without others.
type alone struct{}

func (alone) Peers() []roster.Peer { return nil }

var _ = Describe("Departures", func() {
	const id = upstream.ID("engine-1")

	DescribeTable("take an engine back only by a late report of its own", func(reviewedBefore bool, signs []roster.Sign) {
		clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
		leaving := false
		d := departures.New(departures.Options{
			Self: "vm-1", Directory: alone{}, Clock: clock,
			Sight:      func() []upstream.ID { return []upstream.ID{id} },
			SetLeaving: func(_ upstream.ID, l bool) { leaving = l },
		}, prometheus.NewRegistry())
		pass := func(whole time.Duration) {
			for end := clock.Now().Add(whole); clock.Now().Before(end); {
				clock.Advance(departures.ReviewPeriod)
				d.Review()
			}
		}
		if reviewedBefore {
			pass(departures.ReviewPeriod)
			Expect(leaving).To(BeFalse())
		}
		if signs == nil {
			d.Leaving(id)
		}
		_, err := d.Gossip().Answer(roster.Digest{From: "vm-2", Signs: signs})
		Expect(err).NotTo(HaveOccurred())
		d.Apply()
		Expect(leaving).To(BeTrue())
		d.Staying(id, clock.Now()) // a report that lags behind the sign
		pass(2 * departures.ReturnLag)
		Expect(leaving).To(BeTrue())
		d.Staying(id, clock.Now())
		pass(departures.ReviewPeriod)
		Expect(leaving).To(BeFalse())
		_, err = d.Gossip().Answer(roster.Digest{From: "vm-2", Signs: []roster.Sign{
			{ID: roster.ID(id), Kind: roster.Departing, AgeMillis: (2 * departures.ReturnLag).Milliseconds()},
		}})
		Expect(err).NotTo(HaveOccurred())
		d.Apply()
		Expect(leaving).To(BeFalse(), "a sign of the earlier run")
		d.Leaving(id)
		d.Apply()
		Expect(leaving).To(BeTrue())
		Expect(d.InForce()).To(Equal([]upstream.ID{id}))
	},
		Entry("own sign", true, nil),
		Entry("own sign before the first review", false, nil),
		Entry("another VM's sign", true, []roster.Sign{{ID: roster.ID(id), Kind: roster.Departing}}),
	)
})
