package fetch_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/fetch"
)

const (
	parts   = 20
	timeout = 400 * time.Millisecond
)

// slowRequest returns a request to a server that pauses before each part of its
// body. The pause before the part stallAt exceeds the timeout; -1 is none.
func slowRequest(t *testing.T, pause time.Duration, stallAt int) *http.Request {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range parts {
			delay := pause
			if i == stallAt {
				delay = time.Minute
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(delay):
			}
			_, _ = w.Write([]byte("part "))
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	req, err := http.NewRequest(http.MethodGet, server.URL, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return req
}

func get(req *http.Request) (fetch.Response, error) {
	return fetch.Do(http.DefaultClient, req, fetch.Limits{HeaderTimeout: timeout, IdleTimeout: timeout, MaxBytes: 1 << 20})
}

// The body takes twice the timeout, with pauses far below it.
func TestBodyMayTakeLongerThanHeaderTimeout(t *testing.T) {
	g := NewWithT(t)
	resp, err := get(slowRequest(t, 2*timeout/parts, -1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(resp.Body)).To(Equal(strings.Repeat("part ", parts)))
}

func TestSilentConnectionTimesOut(t *testing.T) {
	g := NewWithT(t)
	for _, stallAt := range []int{0, 3} {
		start := time.Now()
		_, err := get(slowRequest(t, 0, stallAt))
		g.Expect(errorx.IsOfType(err, fetch.ErrTimeout)).To(BeTrue(), "%v", err)
		g.Expect(time.Since(start)).To(BeNumerically("<", 10*timeout))
	}
}

// A body over the limit must not pass for a complete one.
func TestBodyOverLimitIsAnError(t *testing.T) {
	g := NewWithT(t)
	limits := fetch.Limits{HeaderTimeout: timeout, IdleTimeout: timeout, MaxBytes: parts * int64(len("part "))}
	resp, err := fetch.Do(http.DefaultClient, slowRequest(t, 0, -1), limits)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body).To(HaveLen(int(limits.MaxBytes)))
	limits.MaxBytes--
	_, err = fetch.Do(http.DefaultClient, slowRequest(t, 0, -1), limits)
	g.Expect(errorx.IsOfType(err, fetch.ErrTooLong)).To(BeTrue())
}
