package hints_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/vm"
)

// node is a VM: its exchange and its list of the other VMs.
type node struct {
	*hints.Exchange
	vms *members.List
}

// openNode returns a node that sends and receives until the end of the test.
func openNode(t *testing.T, id vm.ID, onHint func(hints.Hint)) node {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	vms := members.NewList(id, "own", log)
	x, err := hints.Open("127.0.0.1:0", vms, "r", func(domain.ID) domain.Region { return "r" }, onHint, log, hints.NewCounter(prometheus.NewRegistry()))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	for _, loop := range []func(context.Context){x.Send, x.Receive} {
		go func() {
			loop(ctx)
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		x.Close()
		<-done
		<-done
	})
	return node{x, vms}
}

// memberRow returns the row of the members table for a node.
func memberRow(t *testing.T, id string, n node) watch.Row {
	value, err := json.Marshal(members.Member{Hints: n.Address()})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return watch.Row{Key: members.Prefix + id, Value: value}
}

func TestHintReachesOtherVMsAndNotSender(t *testing.T) {
	g := NewWithT(t)
	received := make(chan hints.Hint, 8)
	a := openNode(t, "a", func(hints.Hint) { t.Error("the sender received its own hint") })
	b := openNode(t, "b", func(h hints.Hint) { received <- h })
	a.vms.Reset(watch.Batch{Rows: []watch.Row{memberRow(t, "a", a), memberRow(t, "b", b), {Key: members.Prefix + "odd", Value: []byte("{")}}})
	g.Expect(a.vms.Others()).To(HaveLen(1))
	h := hints.Hint{Upstream: "e1", WorkMS: 1500}
	a.Announce(h)
	g.Eventually(received).Should(Receive(Equal(h)))
}

// TestHintOfColdUpstreamKeepsZero guards against a hint that an upstream has ended which reads
// as no hint, as zero is its value.
func TestHintOfColdUpstreamKeepsZero(t *testing.T) {
	g := NewWithT(t)
	for _, ms := range []int64{0, 1500} {
		payload, err := json.Marshal(hints.Hint{Upstream: "e1", Cold: &ms})
		g.Expect(err).NotTo(HaveOccurred())
		var h hints.Hint
		g.Expect(json.Unmarshal(payload, &h)).To(Succeed())
		g.Expect(h.Cold).To(HaveValue(Equal(ms)))
	}
	var older hints.Hint
	g.Expect(json.Unmarshal([]byte(`{"upstream":"e1","work_ms":5}`), &older)).To(Succeed())
	g.Expect(older.Cold).To(BeNil())
}

func TestDeletedMemberIsRemovedFromOthers(t *testing.T) {
	g := NewWithT(t)
	a, b := openNode(t, "a", nil), openNode(t, "b", nil)
	a.vms.Reset(watch.Batch{Rows: []watch.Row{memberRow(t, "b", b)}})
	a.vms.Change(watch.Batch{Rows: []watch.Row{{Key: members.Prefix + "b", Deleted: true}}})
	g.Expect(a.vms.Others()).To(BeEmpty())
}

// TestEvidenceBeyondTheBurstIsSentLater guards against evidence that waits for the next message
// once the burst of the byte budget is used up, and against hints that wait behind it.
func TestEvidenceBeyondTheBurstIsSentLater(t *testing.T) {
	g := NewWithT(t)
	const messages = 16
	received := make(chan hints.Hint, 2*messages)
	a, b := openNode(t, "a", nil), openNode(t, "b", func(h hints.Hint) { received <- h })
	a.vms.Reset(watch.Batch{Rows: []watch.Row{memberRow(t, "b", b)}})
	digester := quarantine.NewDigester("secret")
	crash := quarantine.Crash{Incarnation: quarantine.Incarnation{Upstream: "e"}}
	for i := range 25 {
		crash.Suspects = append(crash.Suspects, quarantine.Suspect{Keys: []quarantine.Key{digester.Part(strconv.Itoa(i))}, Begun: true})
	}
	for range messages {
		a.Announce(hints.Hint{Quarantine: &quarantines.Message{Crashes: []quarantine.Crash{crash}, ForAll: true}})
	}
	a.Announce(hints.Hint{Upstream: "e", WorkMS: 1500})
	evidence := 0
	for range messages + 1 {
		var h hints.Hint
		g.Eventually(received, "5s").Should(Receive(&h))
		if h.Quarantine == nil {
			g.Expect(evidence).To(BeNumerically("<", messages))
			continue
		}
		g.Expect(h.Quarantine.ForAll).To(BeFalse())
		g.Expect(h.Quarantine.Crashes).To(Equal([]quarantine.Crash{crash}))
		evidence++
	}
	g.Expect(evidence).To(Equal(messages))
}
