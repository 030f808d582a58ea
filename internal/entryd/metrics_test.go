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

// registered returns the metrics of all daemons.
func registered() map[string]string {
	e, _ := start(context.Background(), examples.Quickstart)
	all := e.VM("vm-1").Metrics()
	s := settings.DefaultControl()
	s.VM.ID = "vm-1"
	control, err := controld.New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), clockwork.NewFakeClock())
	Expect(err).NotTo(HaveOccurred())
	maps.Copy(all, control.Metrics())
	gateway := gatewayd.New(settings.DefaultGateway(), io.Discard, clockwork.NewFakeClock())
	maps.Copy(all, gateway.Metrics())
	return all
}

var _ = Describe("metrics", func() {
	// UPDATE_DOCS=1 writes the table to the page instead.
	It("stand on their page as the code has them", func() {
		const path, mark = "../../docs/METRICS.md", "<!-- metrics -->\n"
		page, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		head, table, _ := strings.Cut(string(page), mark)
		want := metrics.Markdown(registered())
		if os.Getenv("UPDATE_DOCS") != "" {
			Expect(os.WriteFile(path, []byte(head+mark+want), 0o600)).To(Succeed())
			return
		}
		Expect(table).To(Equal(want))
	})

	It("are the ones that alerts and the dashboard use", func() {
		known := registered()
		for _, file := range []string{"../../deploy/alerts.yml", "../../deploy/dashboard.json"} {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			used := regexp.MustCompile(`poplarshore_[a-z_]+`).FindAllString(string(text), -1)
			Expect(used).NotTo(BeEmpty())
			for _, name := range used {
				Expect(known).To(HaveKey(strings.TrimSuffix(name, "_bucket")), "in %s", file)
			}
		}
	})
})
