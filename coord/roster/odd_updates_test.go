package roster_test

import (
	"math"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/roster"
)

// Guards against an age that overflows: the observation lies in the time to come, and a sound
// member gets no work for years.
var _ = DescribeTable("An update with a huge age makes no member suspect", func(age int64) {
	clock := clockwork.NewFakeClock()
	r := roster.New(roster.Options{Self: "a", Clock: clock})
	r.ApplyList(clock.Now(), []roster.ListEntry{{ID: "engine"}})
	Expect(r.Receive(roster.Digest{From: "b", Updates: []roster.Update{
		{ID: "engine", Kind: roster.Refused, AgeMillis: age},
	}})).To(Succeed())
	clock.Advance(time.Minute)
	Expect(r.Phase("engine")).To(Equal(roster.Live))
},
	Entry("highest", int64(math.MaxInt64)),
	Entry("just beyond the range of a duration", int64(math.MaxInt64/1_000_000+1)),
	Entry("half of the highest", int64(math.MaxInt64/2)),
	Entry("a year", int64(366*24*60*60*1000)),
	Entry("negative", int64(math.MinInt64)),
)
