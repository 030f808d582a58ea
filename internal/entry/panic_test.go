package entry_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/entry"
)

// faultyConfig panics, as a fault of the program would.
type faultyConfig struct{ entry.Config }

func (faultyConfig) Index() *document.Index { panic("index out of range") }

// TestRequestWhoseHandlingPanicsIsAnswered guards against connections that end without an answer, and without a line
// in the log.
func TestRequestWhoseHandlingPanicsIsAnswered(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	server := httptest.NewServer(entry.New(entry.Deps{
		Config: faultyConfig{}, Clock: clockwork.NewRealClock(), Registry: prometheus.NewRegistry(),
		NewRequestID: func(time.Time) string { return "r1" }, Log: slog.New(slog.NewJSONHandler(&log, nil)),
	}, entry.Options{}))
	defer server.Close()
	resp, err := http.Get(server.URL + "/v1/models")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
	server.Close()
	g.Expect(log.String()).To(And(ContainSubstring("index out of range"), ContainSubstring("panic_test.go")))
}
