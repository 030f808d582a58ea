package entryd_test

import (
	"context"
	"encoding/pem"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/internal/entryd"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/environment"
)

var _ = Describe("upstreams with certificates", func() {
	It("are verified by the authorities that the settings name", func() {
		var asked atomic.Int64
		engine := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			asked.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		DeferCleanup(engine.Close)
		e, err := environment.Start(context.Background(), environment.Options{Document: examples.Quickstart})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		authorities := filepath.Join(GinkgoT().TempDir(), "ca.pem")
		text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: engine.Certificate().Raw})
		Expect(os.WriteFile(authorities, text, 0o600)).To(Succeed())
		d, err := e.StartVM(environment.VM{ID: "vm-1", Domain: "local-1", ConfigureSettings: func(s *settings.Entry) {
			s.UpstreamCAFile = authorities
			s.Upstreams = settings.Addresses{"cheap-1": engine.URL}
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.IsReady()).To(BeTrue())
		Eventually(asked.Load).WithTimeout(waitLong).Should(BeNumerically(">", 0))
	})

	It("fail the start when the authorities can't be read", func() {
		s := settings.DefaultEntry()
		s.UpstreamCAFile = "/does/not/exist"
		_, err := entryd.New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), clockwork.NewFakeClock())
		Expect(err).To(HaveOccurred())
	})
})
