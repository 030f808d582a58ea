package routing_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/routing"
)

// Guards against requests that are handled by a configuration that was superseded before they began, or by an
// older one than the VM that they come from.
func TestHistoryKeepsConfigurationsForRequestsThatBeganBefore(t *testing.T) {
	g := NewWithT(t)
	var h routing.History
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	g.Expect(h.TableAt(start, 0)).To(BeNil())
	for i := range 3 {
		h.Install(routing.Compile(routing.Config{Version: int64(i + 1)}), at(10*i))
	}
	g.Expect(h.Table().Version()).To(Equal(int64(3)))
	for _, c := range []struct {
		began         int
		minVersion    int64
		expectVersion int64
	}{{5, 1, 1}, {5, 2, 2}, {10, 1, 2}, {15, 1, 2}, {20, 1, 3}, {5, 4, 3}} {
		g.Expect(h.TableAt(at(c.began), c.minVersion).Version()).To(Equal(c.expectVersion), "%+v", c)
	}
	h.Install(routing.Compile(routing.Config{Version: 4}), at(75))
	g.Expect(h.TableAt(at(5), 1).Version()).To(Equal(int64(2)), "the first one is forgotten after a minute")
}

// Guards against a memory that grows with the number of configurations.
func TestHistoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	var h routing.History
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range int64(100) {
		h.Install(routing.Compile(routing.Config{Version: i}), start)
	}
	g.Expect(h.TableAt(start.Add(-time.Second), 0).Version()).To(Equal(int64(91)))
}
