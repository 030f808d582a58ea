package bubble_test

import (
	"sync"
	"testing"
	"time"

	"github.com/poplarshore/poplarshore/internal/bubble"
)

// TestExpiredTimersDoNotFailTheRaceDetector guards against timers that several goroutines of a bubble run at once.
func TestExpiredTimersDoNotFailTheRaceDetector(t *testing.T) {
	const goroutines, rounds = 60, 5000
	bubble.Test(t, func(*testing.T) {
		var wait sync.WaitGroup
		for range goroutines {
			wait.Go(func() {
				for range rounds {
					select {
					case <-time.After(0):
					case <-time.After(0):
					}
				}
			})
		}
		wait.Wait()
	})
}
