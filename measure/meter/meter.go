// Package meter measures what a piece of work costs this process: processor
// time, heap, and the bytes and messages of its connections.
package meter

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// CPU returns the processor time that the process has used so far, user and
// system, on all threads.
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

// Memory returns the bytes of live heap and stacks after a garbage collection.
func Memory() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// Wire counts the bytes that connections carry. Every byte on loopback passes
// a dialled connection once as read or written, so that end alone is counted.
type Wire struct {
	sent, received, opened atomic.Int64
}

// Traffic is a count of a Wire.
type Traffic struct {
	Sent, Received int64
	// Opened is the number of connections opened.
	Opened int64
}

// Bytes returns the sum of both directions.
func (t Traffic) Bytes() int64 { return t.Sent + t.Received }

// Read returns the count so far.
func (w *Wire) Read() Traffic {
	return Traffic{Sent: w.sent.Load(), Received: w.received.Load(), Opened: w.opened.Load()}
}

// Dial opens a counted connection; it fits http.Transport.DialContext.
func (w *Wire) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w.opened.Add(1)
	return &counted{Conn: conn, wire: w}, nil
}

type counted struct {
	net.Conn
	wire *Wire
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.received.Add(int64(n))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.sent.Add(int64(n))
	return n, err
}
