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
	parts = 20
	limit = 400 * time.Millisecond
)

// slow serves a body in parts with pauses; a pause over the limit at part hole.
func slow(t *testing.T, pause time.Duration, hole int) *http.Request {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range parts {
			wait := pause
			if i == hole {
				wait = time.Minute
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(wait):
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

func get(req *http.Request) (fetch.Reply, error) {
	return fetch.Do(http.DefaultClient, req, fetch.Limits{Head: limit, Silence: limit, MaxBytes: 1 << 20})
}

// TestALongAnswerMayTakeLongerThanItsHead reads a body that takes twice the
// limit, with pauses far below it.
func TestALongAnswerMayTakeLongerThanItsHead(t *testing.T) {
	g := NewWithT(t)
	reply, err := get(slow(t, 2*limit/parts, -1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(reply.Body)).To(Equal(strings.Repeat("part ", parts)))
}

func TestSilenceEndsTheWait(t *testing.T) {
	g := NewWithT(t)
	for _, hole := range []int{0, 3} {
		began := time.Now()
		_, err := get(slow(t, 0, hole))
		g.Expect(errorx.IsOfType(err, fetch.ErrSilent)).To(BeTrue(), "%v", err)
		g.Expect(time.Since(began)).To(BeNumerically("<", 10*limit))
	}
}
