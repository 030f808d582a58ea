package entryd_test

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"os"
	"regexp"
	"strings"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/internal/controld"
	"github.com/poplarshore/poplarshore/internal/gatewayd"
	"github.com/poplarshore/poplarshore/internal/metrics"
	"github.com/poplarshore/poplarshore/settings"
)

// registeredMetrics returns the help texts of the metrics of all daemons by name.
func registeredMetrics() map[string]string {
	e, _ := startEnvironment(context.Background(), examples.Quickstart)
	descriptions := e.VM("vm-1").Metrics()
	s := settings.DefaultControl()
	s.VM.ID = "vm-1"
	control, err := controld.New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), clockwork.NewFakeClock())
	Expect(err).NotTo(HaveOccurred())
	maps.Copy(descriptions, control.Metrics())
	gateway := gatewayd.New(settings.DefaultGateway(), io.Discard, clockwork.NewFakeClock())
	maps.Copy(descriptions, gateway.Metrics())
	return descriptions
}

var _ = Describe("metrics", func() {
	// If UPDATE_DOCS is set, the test writes the table to the page instead of comparing.
	It("are the same in docs/METRICS.md as in the code", func() {
		const path, marker = "../../docs/METRICS.md", "<!-- metrics -->\n"
		page, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		head, table, _ := strings.Cut(string(page), marker)
		want := metrics.Markdown(registeredMetrics())
		if os.Getenv("UPDATE_DOCS") != "" {
			Expect(os.WriteFile(path, []byte(head+marker+want), 0o600)).To(Succeed())
			return
		}
		Expect(table).To(Equal(want))
	})

	It("include all metrics that the alerts and the dashboard use", func() {
		registered := registeredMetrics()
		for _, file := range []string{"../../deploy/alerts.yml", "../../deploy/dashboard.json"} {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			used := regexp.MustCompile(`poplarshore_[a-z_]+`).FindAllString(string(text), -1)
			Expect(used).NotTo(BeEmpty())
			for _, name := range used {
				Expect(registered).To(HaveKey(strings.TrimSuffix(name, "_bucket")), "in %s", file)
			}
		}
	})
})
