package transport_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/standin/endless"
)

// TestHeadWithoutEndDoesNotFillMemory guards against upstreams, peers and platform services whose heads grow
// until the VM runs out of memory.
func TestHeadWithoutEndDoesNotFillMemory(t *testing.T) {
	for name, start := range map[string]string{
		"header lines":            "HTTP/1.1 200 OK\r\n",
		"one header line":         "HTTP/1.1 200 OK\r\nX-A: ",
		"status line":             "HTTP/1.1 200 ",
		"informational responses": "",
	} {
		part := strings.Repeat("X-A: "+strings.Repeat("a", 200)+"\r\n", 20)
		switch name {
		case "one header line", "status line":
			part = strings.Repeat("a", 4000)
		case "informational responses":
			part = "HTTP/1.1 103 Early Hints\r\n" + part + "\r\n"
		}
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server, err := endless.Listen(endless.Response{Start: start, Part: part})
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(server.Close)
			pool := transport.NewPool(transport.Options{})
			t.Cleanup(pool.Close)
			// Includes what is garbage at once: net/textproto grows a long line part by part.
			const requests, maxAllocatedBytes = 8, 64 * transport.MaxResponseHeaderBytes
			before := allocatedBytes()
			var wg sync.WaitGroup
			errs := make([]error, requests)
			for i := range requests {
				wg.Go(func() { errs[i] = getError(t, pool, server.URL()) })
			}
			wg.Wait()
			g.Expect(allocatedBytes() - before).To(BeNumerically("<", requests*maxAllocatedBytes))
			for _, err := range errs {
				g.Expect(err).To(MatchError(ContainSubstring("headers exceeded %d bytes", transport.MaxResponseHeaderBytes)))
			}
		})
	}
}

// allocatedBytes returns the bytes that were allocated on the heap since the start, freed ones included.
func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// getError sends a request and returns the error of the transport.
func getError(t *testing.T, pool *transport.Pool, url string) error {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := pool.Idempotent().RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	return err
}

// TestFramingWithoutEndDoesNotFillMemory guards against upstreams whose chunks are framed by bytes without end, which no limit
// of a body counts.
func TestFramingWithoutEndDoesNotFillMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n"
	for name, response := range map[string]endless.Response{
		"extension of a chunk":           {Start: head + "1;", Part: strings.Repeat("a", 4000)},
		"extensions of chunks":           {Start: head, Part: strings.Repeat("1;"+strings.Repeat("a", 200)+"\r\nb\r\n", 20)},
		"one trailer line":               {Start: head + "1\r\nb\r\n0\r\nX-A: ", Part: strings.Repeat("a", 4000)},
		"trailer lines":                  {Start: head + "1\r\nb\r\n0\r\n", Part: strings.Repeat("X-A: "+strings.Repeat("a", 200)+"\r\n", 20)},
		"size of a chunk without an end": {Start: head, Part: strings.Repeat("0", 4000)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server, err := endless.Listen(response)
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(server.Close)
			pool := transport.NewPool(transport.Options{})
			t.Cleanup(pool.Close)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL(), nil)
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := pool.Idempotent().RoundTrip(req)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			before := allocatedBytes()
			_, err = io.Copy(io.Discard, resp.Body)
			g.Expect(err).To(HaveOccurred())
			g.Expect(allocatedBytes() - before).To(BeNumerically("<", 64*transport.MaxResponseHeaderBytes))
		})
	}
}
