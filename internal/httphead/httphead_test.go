package httphead_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/httphead"
)

// TestStatusOfResponse checks each number that three characters can make.
func TestStatusOfResponse(t *testing.T) {
	g := NewWithT(t)
	for status := -99; status < 1000; status++ {
		err := httphead.Check(status, nil)
		if status >= 100 && status <= 599 && status != http.StatusSwitchingProtocols {
			g.Expect(err).NotTo(HaveOccurred(), "%d", status)
			continue
		}
		g.Expect(errorx.IsOfType(err, httphead.ErrInvalid)).To(BeTrue(), "%d", status)
		g.Expect(httphead.IsInformational(status)).To(BeFalse(), "%d", status)
	}
}

// TestInformationalResponseHasNoBody guards against a body that is read as the next response.
func TestInformationalResponseHasNoBody(t *testing.T) {
	g := NewWithT(t)
	for length, valid := range map[string]bool{"": true, "0": true, "1": false, "150": false, "odd": false} {
		h := http.Header{}
		if length != "" {
			h.Set("Content-Length", length)
		}
		g.Expect(httphead.Check(http.StatusEarlyHints, h) == nil).To(Equal(valid), length)
		g.Expect(httphead.Check(http.StatusOK, h)).To(Succeed(), length)
	}
}

// TestFieldNames checks names of one byte, alone and within others.
func TestFieldNames(t *testing.T) {
	g := NewWithT(t)
	const valid = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		for _, name := range []string{string([]byte{byte(b)}), string([]byte{'X', byte(b), 'A'}), string([]byte{'X', byte(b)})} {
			h := http.Header{"X-A": {"1"}, name: {"1"}}
			g.Expect(httphead.Check(http.StatusOK, h) == nil).To(Equal(strings.IndexByte(valid, byte(b)) >= 0), "%q", name)
			g.Expect(httphead.CheckFields(h) == nil).To(Equal(strings.IndexByte(valid, byte(b)) >= 0), "%q", name)
		}
	}
	g.Expect(httphead.CheckFields(http.Header{"": {"1"}})).NotTo(Succeed())
	g.Expect(httphead.CheckFields(nil)).To(Succeed())
}
