package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin/entry"
)

// oddRowFault writes odd entries among those of the engines. It is a kind of its own list, because the
// seeds of regressions depend on the number of faultKinds.
var oddRowFault = faultKind{"odd_rows", (*injector).writeOddRows}

const (
	// oddNesting is the depth of a nested entry, and oddRowCount how many odd entries are there at once.
	oddNesting  = 20_000
	oddRowCount = 3
	// oddRowTime is how long they stay.
	oddRowTime = 3 * time.Second
)

// writeOddRows writes entries that name no engine, and one with the address of a VM, and removes them.
func (f *injector) writeOddRows(ctx context.Context, rng *rand.Rand) {
	defer f.bed.oddRows.begin()()
	for i := range oddRowCount {
		key := fmt.Sprintf("odd-%d-%d", i, rng.Uint64())
		f.bed.store.PutRaw("servers", key, []byte(f.oddEntry(rng)))
		defer f.bed.store.Remove("servers", key)
	}
	sleep(ctx, oddRowTime)
}

// oddEntry returns the value of an odd entry.
func (f *injector) oddEntry(rng *rand.Rand) string {
	values := []string{
		strings.Repeat("[", oddNesting) + strings.Repeat("]", oddNesting),
		strings.Repeat(`{"a":`, oddNesting),
		entryWith("127.0.0.1:99999", "8"), entryWith("127.0.0.1:0", "8"), entryWith("127.0.0.1:-1", "8"), entryWith(":8080", "8"),
		entryWith("no-such-host.invalid:80", "8"), entryWith("0.0.0.0:80", "8"), entryWith(f.pickVM(rng).Callers, "8"),
		entryWith("127.0.0.1:1", "9000000000000000000"), entryWith("127.0.0.1:1", "-5"), entryWith("127.0.0.1:1", "1e400"),
		"\x00\xff", "", "null", "[]", `{"Service":7}`,
	}
	return values[rng.IntN(len(values))]
}

// entryWith returns an entry of orderService with an address and a capacity.
func entryWith(address, capacity string) string {
	return entry.Text(orderService, address, string(domains[0]), capacity)
}

// mayBeRestricted reports whether a configuration that can be in force during a lookup restricts the
// regions in which it may be served.
func (c *checker) mayBeRestricted(x exchange) bool {
	return x.kind == lookupRequest && slices.ContainsFunc(c.possibleConfigurations(x), func(cfg configuration) bool { return len(cfg.homes) > 0 })
}

// checkOddRows checks that undisturbed calls, at VMs that reached the engines, were served by the sound
// ones while odd entries were there. Late callers may use up their time themselves.
func (c *checker) checkOddRows(x exchange) {
	if x.kind == streamRequest || !c.undisturbed(x) || c.testbed.oddRows.noneOverlap(x.sentAt, x.doneAt) || !c.testbed.crashes.noneOverlap(x.sentAt, x.doneAt) {
		return
	}
	if !x.vm.cuts.noneOverlap(x.sentAt.Add(-c.bounds.SettleTime), x.doneAt) || !x.wholeAt.IsZero() || c.mayBeRestricted(x) || c.besideFloods(x) {
		return
	}
	if x.response.Incomplete || x.response.Status >= http.StatusInternalServerError {
		c.addViolation("%s at %s: status %d, %v, while odd entries were among those of the engines", x.id, x.vm.ID, x.response.Status, x.response.Err)
	}
}
