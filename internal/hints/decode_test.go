package hints_test

import (
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/hints"
)

// TestDecodeBoundsFigures guards against hints that overflow: work that takes other VMs' announced work
// away, a long cold time that says that the upstream has ended, and a limit under which nothing is sent.
func TestDecodeBoundsFigures(t *testing.T) {
	g := NewWithT(t)
	for _, odd := range []string{``, `[`, `{"work_ms":-1}`, `{"work_ms":-9223372036854775808}`, `{"work_ms":1e300}`, `{"limit":-1}`, `{"limit":1e400}`, `{"cold_ms":-4}`} {
		_, err := hints.Decode([]byte(odd))
		g.Expect(errorx.IsOfType(err, hints.ErrInvalid)).To(BeTrue(), odd)
	}
	h, err := hints.Decode([]byte(`{"upstream":"u","work_ms":9223372036854775807,"limit":1e-300,"cold_ms":9223372036854775807,"later":1}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.Work().Hours()).To(Equal(24.0))
	g.Expect(*h.Limit).To(Equal(0.05))
	g.Expect(*h.Cold).To(BeEquivalentTo(24 * 3600 * 1000))
	h, err = hints.Decode([]byte(`{"upstream":"u","limit":0,"cold_ms":0}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]any{*h.Limit, *h.Cold}).To(Equal([]any{0.0, int64(0)}), "no limit, and an end, are no figures out of bounds")
}

// FuzzDecode guards against datagrams that end the process or are decoded out of bounds.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{
		`{"upstream":"u","work_ms":9223372036854775807,"limit":1e-300,"cold_ms":9223372036854775807}`, `{"limit":-1}`, `{"reports":"/w=="}`,
		`{"quarantine":{"spread":{"groups":-3,"group":9}}}`, `{"fragile":true,"full":true,"silent":true}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		h, err := hints.Decode(datagram)
		if err != nil {
			return
		}
		if h.WorkMS < 0 || h.Work() < 0 || h.Limit != nil && *h.Limit != 0 && !(*h.Limit >= 0.05 && *h.Limit <= 1e6) || h.Cold != nil && *h.Cold < 0 {
			t.Fatalf("out of bounds: %+v", h)
		}
	})
}
