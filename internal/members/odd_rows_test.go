package members_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/netaddr"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// soundRow is the value of a row of a build without a relay listener.
const soundRow = `{"domain":"d1","hints":"10.0.0.1:7341","feed":"10.0.0.1:8229","later":1}`

// oddRows are values of rows that no VM writes.
var oddRows = []string{
	``, `{`, `{}`, `null`, `7`, strings.Repeat("[", 20_000), `{"domain":"d1"}`,
	`{"feed":"10.0.0.1:0"}`, `{"feed":"10.0.0.1:99999"}`, `{"feed":"host.example:80"}`, `{"feed":"0.0.0.0:80"}`, `{"feed":7}`,
	`{"feed":"10.0.0.1:80","hints":"255.255.255.255:80"}`, `{"feed":"10.0.0.1:80","hints":"224.0.0.1:80"}`,
	`{"feed":"10.0.0.1:80","relay":"10.0.0.1:0"}`, `{"feed":"[::]:80","relay":"0.0.0.0:80"}`,
}

// TestRowOfVMThatListensAtAllAddressesIsRead guards against VMs, of this and earlier builds, that aren't counted since
// one of their listeners has no address of its own.
func TestRowOfVMThatListensAtAllAddressesIsRead(t *testing.T) {
	g := NewWithT(t)
	list := members.NewList("b", "t", discardLog)
	row := `{"hints":"10.0.0.1:7341","feed":"10.0.0.1:80","relay":"[::]:80","callers":"0.0.0.0:80"}`
	list.Reset(watch.Batch{Rows: []watch.Row{{Key: members.Prefix + "a", Value: []byte(row)}}})
	_, vms := list.Rank()
	g.Expect(vms).To(Equal(2))
	g.Expect(list.Others()["a"].Relay.IsValid()).To(BeFalse())
	g.Expect(list.Others()["a"].Callers.IsValid()).To(BeFalse())
}

// TestOddRowNamesNoVM guards against rows of other writers that count as VMs, which divide the shared limits
// and get hints and requests.
func TestOddRowNamesNoVM(t *testing.T) {
	for _, odd := range oddRows {
		g := NewWithT(t)
		list := members.NewList("b", "t", discardLog)
		rows := []watch.Row{
			{Key: members.Prefix + "a", Value: []byte(odd)}, {Key: members.Prefix + "c", Value: []byte(soundRow)},
			{Key: members.Prefix, Value: []byte(soundRow)},
		}
		list.Reset(watch.Batch{Rows: rows})
		g.Expect(list.Others()).To(HaveLen(1), "%.60s", odd)
		g.Expect(list.Others()).To(HaveKey(BeEquivalentTo("c")), "%.60s", odd)
		rank, vms := list.Rank()
		g.Expect([]int{rank, vms}).To(Equal([]int{0, 2}), "%.60s", odd)
		list.Change(watch.Batch{Rows: []watch.Row{{Key: members.Prefix + "c", Value: []byte(odd)}}})
		g.Expect(list.Others()).To(BeEmpty(), "%.60s", odd)
	}
}

// FuzzRow guards against rows that end the process, or name addresses that aren't those of one machine.
func FuzzRow(f *testing.F) {
	f.Add("a", []byte(soundRow))
	for _, odd := range oddRows {
		f.Add("a", []byte(odd))
	}
	f.Fuzz(func(t *testing.T, id string, value []byte) {
		list := members.NewList("b", "t", discardLog)
		list.Change(watch.Batch{Rows: []watch.Row{{Key: members.Prefix + id, Value: value}}})
		for _, m := range list.Others() {
			if m.Feed.IsValid() && !netaddr.IsUnicast(m.Feed) || m.Hints.IsValid() && !netaddr.IsUnicast(m.Hints) || m.Relay.IsValid() && !netaddr.IsUnicast(m.Relay) {
				t.Fatalf("out of bounds: %+v", m)
			}
		}
	})
}
