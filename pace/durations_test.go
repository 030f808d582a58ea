package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/pace"
)

// TestExpectedDurationIsThatOfSlowRequests guards against an estimate that half of the requests
// exceed, or that one of very many decides.
func TestExpectedDurationIsThatOfSlowRequests(t *testing.T) {
	g := NewWithT(t)
	var d pace.Durations
	for i := range 1000 {
		d.Observe("r", 1, time.Duration(i+1)*time.Millisecond, start)
	}
	d.Observe("r", 1, time.Hour, start)
	expected, known := d.Expect("r", 1, start)
	g.Expect(known).To(BeTrue())
	g.Expect(expected).To(BeNumerically("~", 950*time.Millisecond, 100*time.Millisecond))
}

// TestExpectedDurationGrowsWithSize guards against short streams that are taken for long ones.
func TestExpectedDurationGrowsWithSize(t *testing.T) {
	g := NewWithT(t)
	var d pace.Durations
	for _, events := range []float64{10, 20, 40} {
		d.Observe("r", events, time.Duration(events)*50*time.Millisecond, start)
	}
	expected, known := d.Expect("r", 100, start)
	g.Expect(known).To(BeTrue())
	g.Expect(expected).To(BeNumerically("~", 5*time.Second, 500*time.Millisecond))
}

// TestDurationsFade guards against an estimate by requests of a time when upstreams were slow.
func TestDurationsFade(t *testing.T) {
	g := NewWithT(t)
	var d pace.Durations
	d.Observe("r", 1, 10*time.Second, start)
	_, known := d.Expect("r", 1, start.Add(80*time.Second))
	g.Expect(known).To(BeTrue())
	d.Observe("r", 1, time.Second, start.Add(100*time.Second))
	expected, _ := d.Expect("r", 1, start.Add(130*time.Second))
	g.Expect(expected).To(BeNumerically("~", time.Second, 100*time.Millisecond))
	_, known = d.Expect("r", 1, start.Add(time.Hour))
	g.Expect(known).To(BeFalse())
}

// TestUnknownSizeIsNotExpected guards against an estimate out of a size that is not known.
func TestUnknownSizeIsNotExpected(t *testing.T) {
	g := NewWithT(t)
	var d pace.Durations
	d.Observe("r", 0, time.Second, start)
	_, known := d.Expect("r", 1, start)
	g.Expect(known).To(BeFalse())
	d.Observe("r", 1, time.Second, start)
	_, known = d.Expect("r", 0, start)
	g.Expect(known).To(BeFalse())
}
