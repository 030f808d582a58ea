// Package bubble runs tests in synctest bubbles. For tests only.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test is synctest.Test on one processor. All timers of a bubble share one context of the race detector, which fails
// ("ThreadSanitizer: CHECK failed", or a segmentation violation) when goroutines run expired timers at the same time.
// Tests that use it must not run in parallel with others of their package.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
