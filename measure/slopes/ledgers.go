package slopes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/coord/store/memory"
	"github.com/poplarshore/poplarshore/measure/meter"
)

const (
	ledgerPrefix = "env"
	// listLimit is the maximum number of rows or keys that a list or scan
	// returns, large enough to return them all.
	listLimit = 1 << 20
)

// ledgers measures the billing of a number of requests of one client account:
// writing their segments, settling them into totals, and the size of the rows
// that stay in the store while request IDs are retained.
func ledgers() Probe {
	return Probe{Name: "ledger", SizeName: "requests", Sizes: []int{100, 1000, 3000, 10000}, Measure: measureLedger}
}

func measureLedger(ctx context.Context, size int, record Recorder) error {
	table, objects := memory.NewTable(), memory.NewObjects()
	startCPU := meter.CPU()
	if err := writeEntries(ctx, objects, size); err != nil {
		return err
	}
	record("write_cpu", Microseconds, float64((meter.CPU() - startCPU).Microseconds()))
	segmentBytes, err := storedBytes(ctx, objects)
	if err != nil {
		return err
	}
	record("segment_bytes", Bytes, segmentBytes)
	settler := ledger.NewSettler(ledger.SettlerOptions{Table: table, Objects: objects, Prefix: ledgerPrefix, Fence: 1})
	cost, err := cpuPerOperation(1, func(int) error {
		_, err := settler.Settle(ctx)
		return err
	})
	if err != nil {
		return err
	}
	record("settle_cpu", Microseconds, cost)
	rows, err := table.Scan(ctx, "", "", listLimit)
	remaining := 0
	for _, row := range rows {
		remaining += len(row.Value)
	}
	record("row_bytes", Bytes, float64(remaining))
	return err
}

// writeEntries appends the entries of size requests that end at the same time,
// and returns the first error.
func writeEntries(ctx context.Context, objects *memory.Objects, size int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	writer, err := ledger.NewWriter(ledger.WriterOptions{Objects: objects, Prefix: ledgerPrefix, Incarnation: "vm-1.a"})
	if err != nil {
		return err
	}
	var writerRun, callers sync.WaitGroup
	writerRun.Go(func() { _ = writer.Run(ctx) })
	now := time.Now()
	failures := make(chan error, size)
	for i := range size {
		callers.Go(func() {
			if err := writer.Append(ctx, sampleEntry(i, now)); err != nil {
				failures <- err
			}
		})
	}
	callers.Wait()
	cancel()
	writerRun.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}

func sampleEntry(i int, now time.Time) ledger.Entry {
	return ledger.Entry{
		RequestID: fmt.Sprintf("%024x", i*7919), Account: "account-1", Kind: "completion", Model: "model-1", Version: "v1",
		Amount: 1200, Time: now,
		Attempts: []ledger.Attempt{{Upstream: "engine-00001", Model: "model-1", Version: "v1", Cost: 1200, Delivered: true}},
	}
}

// storedBytes returns the total size of all objects.
func storedBytes(ctx context.Context, objects *memory.Objects) (float64, error) {
	keys, err := objects.List(ctx, "", "", listLimit)
	if err != nil {
		return 0, err
	}
	total := 0
	for _, key := range keys {
		body, err := objects.Get(ctx, key)
		if err != nil {
			return 0, err
		}
		total += len(body)
	}
	return float64(total), nil
}
