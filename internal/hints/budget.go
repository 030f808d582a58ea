package hints

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/poplarshore/poplarshore/internal/quarantines"
)

const (
	// evidenceBytesPerSecond and evidenceBurstBytes bound the evidence that a VM sends: at most
	// 32 KiB in any second, 2.6% of the slowest links (10 Mbit/s), which evidence without a
	// bound has filled.
	evidenceBytesPerSecond = 24 << 10
	evidenceBurstBytes     = 8 << 10
	// datagramOverheadBytes is the size of the headers of IPv4 and UDP.
	datagramOverheadBytes = 28
	// maxQueuedDatagrams bounds the datagrams with evidence of one priority that wait.
	maxQueuedDatagrams = 1024
	// evidenceMaxAge is the time after which evidence that waits is dropped: other VMs have
	// decided without it. Entries, which change slowly, are kept for entriesMaxAge.
	evidenceMaxAge = 2 * time.Second
	entriesMaxAge  = 10 * time.Second
	// dropEpisodeEnd is the time without a dropped datagram after which the next one is logged again.
	dropEpisodeEnd = 30 * time.Second
)

// evidenceDatagram is a datagram that waits to be sent.
type evidenceDatagram struct {
	payload  []byte
	to       netip.AddrPort
	queuedAt time.Time
}

// evidenceQueue holds evidence until the byte budget allows to send it, the most useful first.
// It is not safe for concurrent use. Time is a parameter.
type evidenceQueue struct {
	limiter *rate.Limiter
	waiting [quarantines.Priorities][]evidenceDatagram
	// dropped counts what was dropped since takeDropped, and lastDrop is when that last
	// happened.
	dropped  int
	lastDrop time.Time
}

func newEvidenceQueue() *evidenceQueue {
	return &evidenceQueue{limiter: rate.NewLimiter(evidenceBytesPerSecond, evidenceBurstBytes)}
}

// add queues a datagram. It is dropped if too many of its priority wait.
func (q *evidenceQueue) add(p quarantines.Priority, payload []byte, to netip.AddrPort, now time.Time) {
	if len(q.waiting[p]) >= maxQueuedDatagrams {
		q.dropped++
		return
	}
	q.waiting[p] = append(q.waiting[p], evidenceDatagram{payload: payload, to: to, queuedAt: now})
}

// next returns the datagram to send now. Without one it returns the time after which to ask
// again, zero if nothing waits.
func (q *evidenceQueue) next(now time.Time) (d evidenceDatagram, wait time.Duration, ok bool) {
	q.expire(now)
	for p, waiting := range q.waiting {
		if len(waiting) == 0 {
			continue
		}
		bytes := min(len(waiting[0].payload)+datagramOverheadBytes, evidenceBurstBytes)
		if !q.limiter.AllowN(now, bytes) {
			missing := float64(bytes) - q.limiter.TokensAt(now)
			return evidenceDatagram{}, max(time.Duration(missing/evidenceBytesPerSecond*float64(time.Second)), time.Millisecond), false
		}
		q.waiting[p] = waiting[1:]
		return waiting[0], 0, true
	}
	return evidenceDatagram{}, 0, false
}

// expire drops what has waited for too long.
func (q *evidenceQueue) expire(now time.Time) {
	for p := range q.waiting {
		maxAge := evidenceMaxAge
		if quarantines.Priority(p) == quarantines.PriorityEntries {
			maxAge = entriesMaxAge
		}
		for len(q.waiting[p]) > 0 && now.Sub(q.waiting[p][0].queuedAt) > maxAge {
			q.waiting[p] = q.waiting[p][1:]
			q.dropped++
		}
	}
}

// takeDropped returns the number of datagrams dropped since the last call, and whether they
// are the first of an episode.
func (q *evidenceQueue) takeDropped(now time.Time) (n int, first bool) {
	n, q.dropped = q.dropped, 0
	if n > 0 {
		first = q.lastDrop.IsZero() || now.Sub(q.lastDrop) > dropEpisodeEnd
		q.lastDrop = now
	}
	return n, first
}
