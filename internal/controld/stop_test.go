package controld_test

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/standin/fault"
	standinplatform "github.com/poplarshore/poplarshore/standin/platform"
)

// TestStopCancelsAllJobsAtOnce guards against a stop during an outage of the store that takes one store timeout for each
// job, while the other jobs go on, until the process is killed with their leases held.
func TestStopCancelsAllJobsAtOnce(t *testing.T) {
	const (
		jobs = 4
		// cancelTimeout is shorter than the store timeout of a lease's release.
		cancelTimeout = 2 * time.Second
	)
	g := NewWithT(t)
	log := gbytes.NewBuffer()
	e, err := environment.Start(t.Context(), environment.Options{
		Document: examples.Quickstart, VMs: []environment.VM{{ID: "vm-1", Domain: "local-1"}},
		Log: slog.New(slog.NewTextHandler(log, nil)),
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(e.Close)
	g.Expect(e.StartControl(environment.VM{ID: "vm-1", Domain: "local-1"}, nil)).To(Succeed())
	count := func(text string) func() int {
		return func() int { return bytes.Count(log.Contents(), []byte(text)) }
	}
	g.Eventually(count("job acquired"), "20s").Should(Equal(jobs))
	hang := fault.Rule{Kind: standinplatform.Slow, Path: "/table", DelayMs: time.Minute.Milliseconds()}
	g.Expect(e.Platform.Faults.Add(hang)).To(Succeed())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.StopControls()
	}()
	g.Eventually(count("job ended"), cancelTimeout).Should(Equal(jobs), "no job waits for the release of another one's lease")
	e.Platform.Faults.Clear()
	g.Eventually(stopped, "20s").Should(BeClosed())
}
