package entry

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/upstream"
)

// allCallers is the ID of the holder that stands for the requests of all callers.
const allCallers = "all"

// unreservedBytes are kept without a reservation, so that small answers get through although a holder has used up its share.
const unreservedBytes = 4 << 10

// kept is the memory that one part of an exchange keeps. It is safe for concurrent use, as attempts may outlast
// their exchange for a moment.
type kept struct {
	mu          sync.Mutex
	reservation *membudget.Reservation
	bytes       int
	released    bool
}

// set changes the number of bytes that are kept. Errors: engineclient.ErrNoRoom, also after release; nothing changes then.
func (k *kept) set(n int) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.setLocked(n)
}

// add keeps n bytes more. Errors: those of set.
func (k *kept) add(n int) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.setLocked(k.bytes + n)
}

// setLocked is set. The caller holds mu.
func (k *kept) setLocked(n int) error {
	change := reservedBytes(n) - reservedBytes(k.bytes)
	switch {
	case k.released:
		return engineclient.ErrNoRoom.New("the exchange has ended")
	case change > 0:
		if err := k.reservation.Grow(change); err != nil {
			return engineclient.NoRoomError(err)
		}
	case change < 0:
		k.reservation.Shrink(-change)
	}
	k.bytes = n
	return nil
}

// reservedBytes returns how many of n bytes are reserved.
func reservedBytes(n int) int { return max(n-unreservedBytes, 0) }

// release returns all bytes for good.
func (k *kept) release() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.released = true
	k.reservation.Release()
}

// keep returns memory for a part of the exchange, which is released when the exchange ends. The first holder is the
// one that sends what is kept.
func (s *Server) keep(x *Exchange, holders ...membudget.Holder) *kept {
	k := &kept{reservation: s.Memory.Reserve(holders...)}
	x.mu.Lock()
	defer x.mu.Unlock()
	k.released = x.ended
	x.kept = append(x.kept, k)
	return k
}

// keepAnswer returns memory for the answer of a model at an upstream.
func (s *Server) keepAnswer(x *Exchange, u upstream.ID, name model.Name) *kept {
	return s.keep(x, membudget.Holder{Kind: membudget.Upstream, ID: string(u)}, membudget.Holder{Kind: membudget.Service, ID: string(name)})
}

// keeper returns memory for the answer of an attempt.
type keeper func(a *attempt) *kept

// keeperOf returns the keeper of an exchange.
func (s *Server) keeperOf(x *Exchange) keeper {
	return func(a *attempt) *kept { return s.keepAnswer(x, a.engine.ID, a.ref.Model) }
}

// releaseKept ends the exchange for its memory: nothing is kept for it any more.
func (x *Exchange) releaseKept() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	for _, k := range x.kept {
		k.release()
	}
	x.kept = nil
}

// requestBuffer returns a buffer for the request body of a caller.
func (s *Server) requestBuffer(x *Exchange) *membudget.Buffer {
	k := s.keep(x, membudget.Holder{Kind: membudget.Account, ID: string(x.Client.Account)}, membudget.Holder{Kind: membudget.Callers, ID: allCallers})
	return membudget.NewBuffer(k.reservation, int(s.opts.MaxBodyBytes))
}

// responseBuffer returns a buffer for a response of an upstream to the call.
func (s *Server) responseBuffer(call *serviceCall, u upstream.ID) *membudget.Buffer {
	k := s.keep(call.exchange, membudget.Holder{Kind: membudget.Upstream, ID: string(u)},
		membudget.Holder{Kind: membudget.Service, ID: call.service.Name})
	return membudget.NewBuffer(k.reservation, int(s.opts.MaxBufferedBytes))
}

// chunkBytes is how much is read at once.
const chunkBytes = 32 << 10

// chunks holds arrays for reads.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// readAll reads r to its end. A body of less than unreservedBytes needs no room in the buffer. Errors: those of r and of
// membudget.Buffer.Append.
func readAll(buffer *membudget.Buffer, r io.Reader) ([]byte, error) {
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	for filled := 0; ; {
		n, err := r.Read(chunk[filled:])
		filled += n
		if errors.Is(err, io.EOF) && buffer.Len() == 0 && filled < unreservedBytes {
			return bytes.Clone(chunk[:filled]), nil
		}
		if filled >= unreservedBytes || err != nil {
			if err := buffer.Append(chunk[:filled]); err != nil {
				return nil, err
			}
			filled = 0
		}
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// noMemory returns the refusal for a request body that the VM has no memory for, or nil if err is another error.
func noMemory(err error) *refusal.Refusal {
	if errorx.IsOfType(err, membudget.ErrExhausted) {
		return refusal.Wrap(refusal.NoMemory, err)
	}
	return nil
}
