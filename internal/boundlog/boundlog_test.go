package boundlog_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/boundlog"
)

func TestOrdinaryLinesAreRateLimitedAndWarningsAreWritten(t *testing.T) {
	g := NewWithT(t)
	w := boundlog.New(prometheus.NewRegistry())
	log := slog.New(w.Handler(slog.NewTextHandler(w, nil))).With("vm", "v")
	const lines = 5000
	for range lines {
		log.Info("ordinary")
	}
	log.Warn("kept")
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx, &out)
	g.Expect(strings.Count(out.String(), "ordinary")).To(And(BeNumerically(">", 10), BeNumerically("<", lines/2)))
	g.Expect(out.String()).To(ContainSubstring("kept"))
}

func TestWriteDoesNotBlockWithoutRunningWriter(t *testing.T) {
	g := NewWithT(t)
	w := boundlog.New(prometheus.NewRegistry())
	for range 10_000 {
		n, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(5))
	}
}
