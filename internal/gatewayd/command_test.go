package gatewayd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// output is what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

const commandSettings = `{
	"vm": {"id": "vm-1", "domain": "d1", "region": "r1"}, "regions": {"d1": "r1"}, "store": {"address": "127.0.0.1:1"},
	"callers": {"address": "127.0.0.1:0"}, "health": {"address": "127.0.0.1:0"}, "metrics": {"address": "127.0.0.1:0"},
	"peers": {"address": "127.0.0.1:0"}, "hints": "127.0.0.1:0"
}`

// TestSIGHUPDoesNotEndProcessThatStarts guards against the default handling of the signal, which ends the
// process, while a changed settings file is announced to a process that starts.
func TestSIGHUPDoesNotEndProcessThatStarts(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "gateway.json")
	g.Expect(os.WriteFile(path, []byte(commandSettings), 0o600)).To(Succeed())
	duringStart := func(*options) { g.Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed()) }
	cmd, out := NewCommand(duringStart), &output{}
	cmd.SetOut(out)
	cmd.SetArgs([]string{"--settings", path})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- cmd.ExecuteContext(ctx) }()
	g.Eventually(out.String, 5*time.Second).Should(ContainSubstring("received SIGHUP"))
	cancel()
	g.Eventually(result, 5*time.Second).Should(Receive(BeNil()))
	g.Expect(out.String()).To(ContainSubstring("stopped"))
}
