package relay

import "sync/atomic"

// bufferBudget bounds the bytes that all requests together keep. Responses that go on
// without end could otherwise fill the memory, several at a time. It is safe for
// concurrent use.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

// take reserves n bytes and reports whether they were available. If not, nothing is
// reserved.
func (b *bufferBudget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.release(n)
	return false
}

// release returns n bytes.
func (b *bufferBudget) release(n int) { b.used.Add(int64(-n)) }
