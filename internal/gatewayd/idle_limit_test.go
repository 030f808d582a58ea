package gatewayd

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/routing"
)

// TestCallersConnectionsFollowIdleLimitOfConfiguration guards against connections that are closed after a fixed time though a
// configuration lets callers reuse them for longer.
func TestCallersConnectionsFollowIdleLimitOfConfiguration(t *testing.T) {
	g := NewWithT(t)
	sink := &operatorSink{}
	g.Expect(sink.idleLimit()).To(BeZero())
	for _, limit := range []time.Duration{15 * time.Second, 2 * time.Minute} {
		sink.Install(routing.Compile(routing.Config{Limits: routing.Limits{IdleTimeout: limit}}), time.Time{})
		g.Expect(sink.idleLimit()).To(Equal(limit))
	}
}
