package entryd_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/endless"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	// smallVMMemoryMB is the memory of the VM in these tests, and maxHeapGrowthBytes what its heap may take of that.
	smallVMMemoryMB    = 64
	maxHeapGrowthBytes = smallVMMemoryMB << 20
	// heapSampleInterval is the time between two samples of the size of the heap.
	heapSampleInterval = 2 * time.Millisecond
	// floodTimeout is how long the tests of floods may take.
	floodTimeout = 30 * time.Second
)

// heapBytes returns the bytes of the heap in use, garbage that is not freed yet included.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// largestHeapGrowth returns by how many bytes the heap was larger than now at most while f ran.
func largestHeapGrowth(f func()) int64 {
	runtime.GC()
	before, largest := heapBytes(), int64(0)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(heapSampleInterval)
		defer ticker.Stop()
		for {
			largest = max(largest, heapBytes()-before)
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	f()
	close(stop)
	<-stopped
	return largest
}

// startSmallVM starts an environment with one VM of little memory and the changed settings, and returns a caller of it.
func startSmallVM(t *testing.T, change func(*settings.Entry)) *caller.Caller {
	e, err := environment.Start(t.Context(), environment.Options{
		Document: examples.Quickstart,
		VMs: []environment.VM{{ID: "vm-1", Domain: "local-1", ConfigureSettings: func(s *settings.Entry) {
			s.MemoryMB = smallVMMemoryMB
			change(s)
		}}},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(e.Close)
	return &caller.Caller{Address: e.VM("vm-1").CallersAddress(), Key: demoKey, Client: &http.Client{Transport: &http.Transport{}}}
}

// replaceUpstream returns the settings' addresses with another one for an upstream.
func replaceUpstream(addresses settings.Addresses, id upstream.ID, address string) settings.Addresses {
	changed := make(settings.Addresses, len(addresses))
	for name, former := range addresses {
		changed[name] = former
	}
	changed[id] = address
	return changed
}

// TestBodiesWithoutEndDoNotFillMemory guards against services, or an older router, whose responses fill the memory of a VM, each
// within its own limit.
func TestBodiesWithoutEndDoNotFillMemory(t *testing.T) {
	const calls = 40
	for name, start := range map[string]string{
		"success":              "HTTP/1.1 200 OK\r\n\r\n",
		"failure":              "HTTP/1.1 500 Internal Server Error\r\n\r\n",
		"length above a limit": "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server, err := endless.Listen(endless.Response{Start: start, Part: strings.Repeat("a", 64<<10)})
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(server.Close)
			c := startSmallVM(t, func(s *settings.Entry) { s.Upstreams = replaceUpstream(s.Upstreams, "permits-1", server.URL()) })
			ctx, cancel := context.WithTimeout(t.Context(), floodTimeout)
			defer cancel()
			answers := make([]caller.Answer, calls)
			growth := largestHeapGrowth(func() {
				var wg sync.WaitGroup
				for i := range calls {
					wg.Go(func() { answers[i], _ = c.Do(ctx, http.MethodPost, permitsIssue, []byte("{}"), nil) })
				}
				wg.Wait()
			})
			t.Logf("the heap grew by %d MiB", growth>>20)
			g.Expect(growth).To(BeNumerically("<", maxHeapGrowthBytes))
			for _, a := range answers {
				g.Expect(a.Reason).To(Equal("outcome_unknown"))
			}
			after, err := c.Chat(ctx, caller.NewRequest("cheap", "one", false), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(after.Status).To(Equal(http.StatusOK), "%s", after.Body)
		})
	}
}

// sendUnfinished sends a request whose body lacks its last byte, and returns the status of the response.
func sendUnfinished(address string, bodyBytes int) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	head := completionRequest(fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), "")
	go func() {
		// A VM that refuses the request doesn't read it to its end.
		part := []byte(strings.Repeat("a", 64<<10))
		_, err := conn.Write([]byte(head))
		for left := bodyBytes - 1; left > 0 && err == nil; left -= len(part) {
			_, err = conn.Write(part[:min(left, len(part))])
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// TestUnfinishedRequestBodiesDoNotFillMemory guards against callers whose request bodies fill the memory of a VM before they
// are admitted.
func TestUnfinishedRequestBodiesDoNotFillMemory(t *testing.T) {
	const callers, bodyTimeoutMS = 60, 3000
	g := NewWithT(t)
	c := startSmallVM(t, func(s *settings.Entry) { s.Requests.BodyTimeoutMS = bodyTimeoutMS })
	maxBodyBytes := int(settings.DefaultEntry().Requests.MaxBodyBytes)
	statuses := make([]int, callers)
	errs := make([]error, callers)
	growth := largestHeapGrowth(func() {
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() { statuses[i], errs[i] = sendUnfinished(c.Address, maxBodyBytes) })
		}
		small, err := c.Chat(t.Context(), caller.NewRequest("cheap", "one", false), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(small.Status).To(Equal(http.StatusOK), "%s", small.Body)
		wg.Wait()
	})
	t.Logf("the heap grew by %d MiB, statuses %v", growth>>20, statuses)
	g.Expect(growth).To(BeNumerically("<", maxHeapGrowthBytes))
	for i, status := range statuses {
		if errs[i] == nil {
			g.Expect(status).To(BeElementOf(http.StatusRequestTimeout, http.StatusServiceUnavailable))
		}
	}
	g.Expect(statuses).To(ContainElement(http.StatusServiceUnavailable))
	after, err := c.Chat(t.Context(), caller.NewRequest("cheap", strings.Repeat("a", 64<<10), false), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after.Status).To(Equal(http.StatusOK), "what was kept is released: %s", after.Body)
}
