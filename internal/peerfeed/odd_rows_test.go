package peerfeed

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/watch"
)

// FuzzRowBetweenVMs guards against a row of another writer that another VM can't read, or reads as another
// one: it would cost its whole page.
func FuzzRowBetweenVMs(f *testing.F) {
	f.Add("k", []byte(`{"a":1}`), int64(4), false)
	f.Add("\u2028<&>\x00", []byte{0xff, 0, '{'}, int64(9223372036854775807), false)
	f.Add("", []byte(strings.Repeat("[", 20_000)), int64(-9223372036854775808), true)
	f.Add("k", []byte{}, int64(0), false)
	f.Fuzz(func(t *testing.T, key string, value []byte, revision int64, deleted bool) {
		if deleted {
			value = nil
		}
		// Keys come from the store's JSON.
		row := watch.Row{Key: strings.ToValidUTF8(key, "?"), Value: value, Revision: watch.Revision(revision), Deleted: deleted}
		sound := watch.Row{Key: "sound", Value: []byte("{}"), Revision: 7}
		encoded, err := encodeBatch(watch.Batch{At: 9, Rows: []watch.Row{row, sound}})
		if err != nil {
			t.Fatal(err)
		}
		b, err := unmarshalBatch(encoded.plain)
		if err != nil || len(b.Rows) != 2 {
			t.Fatalf("%d rows, %v", len(b.Rows), err)
		}
		got := b.Rows[0]
		if got.Key != row.Key || string(got.Value) != string(row.Value) || got.Revision != row.Revision || got.Deleted != row.Deleted {
			t.Fatalf("sent %+v, got %+v", row, got)
		}
		if last := b.Rows[1]; last.Key != "sound" || string(last.Value) != "{}" || last.Revision != 7 {
			t.Fatalf("got %+v", last)
		}
	})
}

// FuzzBatchOfVM guards against a response of another VM that ends the process.
func FuzzBatchOfVM(f *testing.F) {
	f.Add([]byte(`{"rows":[{"key":"a","text":"{}","revision":3}],"at":9,"era":1}`))
	f.Add([]byte(`{"rows":[null,{"bytes":"%%"}],"at":1e400}`))
	f.Add([]byte(strings.Repeat("[", 20_000)))
	f.Fuzz(func(_ *testing.T, body []byte) { _, _ = unmarshalBatch(body) })
}

// TestTimesInHeadersAreBounded guards against a VM that counts as fresh for good, or waits no time at all,
// because a number of milliseconds overflows.
func TestTimesInHeadersAreBounded(t *testing.T) {
	g := NewWithT(t)
	for _, odd := range []string{"-1", "9223372036854775807", "-9223372036854775808", "1e3", "", "6000000000001"} {
		_, ok := parseMilliseconds(odd)
		g.Expect(ok).To(BeFalse(), odd)
	}
	d, ok := parseMilliseconds("1764900000000")
	g.Expect(ok).To(BeTrue())
	g.Expect(d).To(Equal(1_764_900_000 * time.Second))
	q, err := parseQuery(httptest.NewRequest("GET", "/feed/t?after=-5&era=1&wait_ms=9223372036854775807&old=false", nil))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(q.wait).To(BeNumerically(">", time.Hour))
	q, err = parseQuery(httptest.NewRequest("GET", "/feed/t?after=1&era=1&wait_ms=-7&old=false", nil))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(q.wait).To(BeZero())
}
