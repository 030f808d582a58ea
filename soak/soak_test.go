package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/soak"
)

// regressions are seeds of runs that once failed, with the cause.
var regressions = []struct {
	seed  uint64
	hands int
	cause string
}{
	{502, 3, "a good version bore the name of one that had been reverted, and the soak took that end for its own"},
	{2008, 3, "the stand-in store waited for swallowed calls whose body it had not read"},
}

// binary builds the gateway once for all tests.
func binary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "poplarshored")
	out, err := exec.Command("go", "build", "-o", path, "github.com/poplarshore/poplarshore/cmd/poplarshored").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	return path
}

func run(t *testing.T, path string, seed uint64, hands int) {
	t.Helper()
	g := NewWithT(t)
	o := soak.DefaultOptions()
	o.Binary, o.Dir, o.Seed, o.Hands = path, t.TempDir(), seed, hands
	o.Duration, o.VMs, o.Engines, o.Rate = 6*time.Second, 3, 3, 30
	report, err := soak.Run(t.Context(), o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Violations).To(BeEmpty(), "seed %d: logs in %s", seed, report.Dir)
	g.Expect(report.Requests).To(BeNumerically(">", 50))
	g.Expect(report.Faults).NotTo(BeEmpty())
}

func TestAShortSoakKeepsThePromises(t *testing.T) {
	run(t, binary(t), 1, 1)
}

func TestSeedsThatOnceFailed(t *testing.T) {
	path := binary(t)
	for _, r := range regressions {
		t.Log(r.seed, r.cause)
		run(t, path, r.seed, r.hands)
	}
}
