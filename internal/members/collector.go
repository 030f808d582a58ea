package members

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/internal/ring"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/vm"
)

// Path is the http.ServeMux pattern under which a VM accepts the rows of other VMs.
const Path = "PUT /members/{vm}"

const (
	// maxCollected bounds the rows that wait to be written; further ones are refused.
	maxCollected = 1024
	// maxRowsPerWrite bounds the rows of one transaction.
	maxRowsPerWrite = 90
	// collectTime is how long a Collector gathers rows before it writes them.
	collectTime = 150 * time.Millisecond
	// maxRowBytes bounds the value of a row that another VM sends.
	maxRowBytes = 4 << 10
)

// Collector writes the rows of several VMs in one transaction. It implements http.Handler
// for Path.
type Collector struct {
	table  string
	queue  *ring.Ring[watch.Put]
	writer watch.Writer
	clock  clockwork.Clock
	log    *slog.Logger
}

// NewCollector returns a collector that writes to the table. Run must be called.
func NewCollector(table string, writer watch.Writer, clock clockwork.Clock, log *slog.Logger) *Collector {
	return &Collector{table: table, queue: ring.New[watch.Put](maxCollected), writer: writer, clock: clock, log: log}
}

// ServeHTTP implements http.Handler. It accepts a row with status 202, which does not
// promise that the row is written.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxRowBytes))
	if err == nil {
		_, err = decode(vm.ID(r.PathValue("vm")), value)
	}
	if err != nil {
		http.Error(w, "invalid row: "+err.Error(), http.StatusBadRequest)
		return
	}
	if !c.add(r.PathValue("vm"), value) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// add queues the row of a VM. It returns false if the queue is full.
func (c *Collector) add(id string, value []byte) bool {
	return c.queue.Offer(watch.Put{Table: c.table, Key: Prefix + id, Value: value})
}

// Run writes queued rows until ctx ends. Rows of a failed write are dropped, because
// their VMs write them themselves.
func (c *Collector) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue.Items():
			if !sleep(ctx, c.clock, collectTime) {
				return
			}
			puts := c.gather(first)
			if err := c.writer.Commit(ctx, watch.Change{Puts: puts}); err != nil {
				c.log.Warn("rows of VMs not written; the VMs write them themselves", "rows", len(puts), "error", err)
			}
		}
	}
}

// gather returns the queued rows, at most maxRowsPerWrite and the newest of each VM.
func (c *Collector) gather(first watch.Put) []watch.Put {
	puts := []watch.Put{first}
	position := map[string]int{first.Key: 0}
	for len(puts) < maxRowsPerWrite {
		select {
		case p := <-c.queue.Items():
			if i, ok := position[p.Key]; ok {
				puts[i] = p
				continue
			}
			position[p.Key] = len(puts)
			puts = append(puts, p)
		default:
			return puts
		}
	}
	return puts
}
