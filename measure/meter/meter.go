// Package meter measures the resources that this process uses: CPU time, memory,
// and the bytes and number of its connections.
package meter

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// CPU returns the CPU time that the process has used so far, in user and system
// mode on all threads. It returns 0 if the system call fails.
func CPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Heap returns the bytes of live heap objects after a garbage collection.
func Heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// HeapAndStacks returns the bytes of live heap objects and of stacks after a
// garbage collection.
func HeapAndStacks() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// TrafficCounter counts the connections that it dials and the bytes that they
// transfer. On loopback it counts each byte once, at the dialing end, as sent or
// received.
type TrafficCounter struct {
	sent, received, opened atomic.Int64
}

// Traffic is a reading of a TrafficCounter.
type Traffic struct {
	// Sent and Received are in bytes.
	Sent, Received int64
	// Opened is the number of connections opened.
	Opened int64
}

// Bytes returns the sum of sent and received bytes.
func (t Traffic) Bytes() int64 { return t.Sent + t.Received }

// Read returns the traffic so far.
func (w *TrafficCounter) Read() Traffic {
	return Traffic{Sent: w.sent.Load(), Received: w.received.Load(), Opened: w.opened.Load()}
}

// Dial opens a connection whose traffic is counted. It can be used as
// http.Transport.DialContext.
func (w *TrafficCounter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w.opened.Add(1)
	return &countingConn{Conn: conn, counter: w}, nil
}

// countingConn is a connection that adds its traffic to a counter.
type countingConn struct {
	net.Conn
	counter *TrafficCounter
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}
