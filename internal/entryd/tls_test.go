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

var _ = Describe("Daemon with TLS upstreams", func() {
	It("verifies upstreams by the certificate authorities in the settings", func() {
		var requestCount atomic.Int64
		engine := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requestCount.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		DeferCleanup(engine.Close)
		e, err := environment.Start(context.Background(), environment.Options{Document: examples.Quickstart})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		caFile := filepath.Join(GinkgoT().TempDir(), "ca.pem")
		certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: engine.Certificate().Raw})
		Expect(os.WriteFile(caFile, certificate, 0o600)).To(Succeed())
		d, err := e.StartVM(environment.VM{ID: "vm-1", Domain: "local-1", ConfigureSettings: func(s *settings.Entry) {
			s.UpstreamCAFile = caFile
			s.Upstreams = settings.Addresses{"cheap-1": engine.URL}
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.IsReady()).To(BeTrue())
		Eventually(requestCount.Load).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 0))
	})

	It("can't be created if the file of certificate authorities can't be read", func() {
		s := settings.DefaultEntry()
		s.UpstreamCAFile = "/does/not/exist"
		_, err := entryd.New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), clockwork.NewFakeClock())
		Expect(err).To(HaveOccurred())
	})
})
