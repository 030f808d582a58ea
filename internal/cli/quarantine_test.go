package cli_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/cli"
)

// startGateway starts a server with one quarantine and returns its URL, and a function
// that returns the query of the last call that lifted it.
func startGateway(t *testing.T) (url string, lifted func() string) {
	var query string
	mux := http.NewServeMux()
	mux.HandleFunc("GET /quarantine", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"entries":[{"key":"part-1f","since":5,"evidence":[{"upstream":"e-7","at":3000000000}],"probes":1}]}`)
	})
	mux.HandleFunc("DELETE /quarantine/part-1f", func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.RawQuery
		w.WriteHeader(http.StatusNoContent)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL, func() string { return query }
}

// run runs the command line and returns its output.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	root := cli.New()
	root.SetOut(&out)
	root.SetErr(io.Discard)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

func TestQuarantinesAreListedShownAndLifted(t *testing.T) {
	g := NewWithT(t)
	url, lifted := startGateway(t)
	out, err := run("quarantine", "list", "--peers", url)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("part-1f\tin force\t1 crashes\t1 probes\n"))
	out, err = run("quarantine", "list", "part-1f", "--peers", url)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(ContainSubstring("e-7 ended at 3s"))
	out, err = run("quarantine", "lift", "part-1f", "--author", "ann", "--peers", url)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("lifted part-1f\n"))
	g.Expect(lifted()).To(Equal("by=ann"))
}

func TestUnknownQuarantineIsAnError(t *testing.T) {
	g := NewWithT(t)
	url, _ := startGateway(t)
	_, err := run("quarantine", "list", "part-2", "--peers", url)
	g.Expect(err).To(HaveOccurred())
	_, err = run("quarantine", "lift", "part-2", "--peers", url)
	g.Expect(err).To(HaveOccurred())
}
