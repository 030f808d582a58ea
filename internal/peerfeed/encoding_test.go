package peerfeed

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/watch"
)

func TestBatchIsEncodedWithoutLoss(t *testing.T) {
	g := NewWithT(t)
	want := watch.Batch{At: 9, Era: 2, Rows: []watch.Row{
		{Key: "json", Value: []byte(`{"a":"b\"c"}`), Revision: 3},
		{Key: "not text", Value: []byte{0xff, 0, 0xfe}, Revision: 4},
		{Key: "deleted", Revision: 9, Deleted: true},
	}}
	body, err := marshalBatch(want)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unmarshalBatch(body)).To(Equal(want))
}

// TestListingOfManyUpstreamsIsShort encodes 250 entries, which a VM sends to hundreds of
// others that start at the same time.
func TestListingOfManyUpstreamsIsShort(t *testing.T) {
	g := NewWithT(t)
	b := watch.Batch{At: 400}
	for i := range 250 {
		value, err := json.Marshal(map[string]any{
			"service": "models", "address": fmt.Sprintf("10.%d.64.%d:8223", i%6, i), "domain": fmt.Sprintf("domain-%d", i%6),
			"version": "v1", "capacity": 12, "state": "ready", "heartbeats": i * 7 % 90, "started_ms": 1777461388176 + i*131,
		})
		g.Expect(err).NotTo(HaveOccurred())
		b.Rows = append(b.Rows, watch.Row{Key: fmt.Sprintf("i-%08x", i*2654435761), Value: value, Revision: watch.Revision(i)})
	}
	encoded, err := encodeBatch(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(encoded.compressed)).To(BeNumerically("<", 12<<10))
}
