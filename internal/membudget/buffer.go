package membudget

// unreservedBytes is the capacity of a Buffer that is not counted, so that a holder that has used up its share still
// gets small answers through. It belongs to what each request costs.
const unreservedBytes = 4 << 10

// Buffer keeps bytes up to a largest size, and reserves its capacity before it grows. The zero value is not valid.
// It is used by one goroutine at a time.
type Buffer struct {
	reservation *Reservation
	maxBytes    int
	data        []byte
	// reserved is the capacity that is reserved.
	reserved int
}

// NewBuffer returns an empty buffer of at most maxBytes, for which the reservation grows.
func NewBuffer(r *Reservation, maxBytes int) *Buffer {
	return &Buffer{reservation: r, maxBytes: maxBytes}
}

// Bytes returns the bytes that are kept. They are valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Len returns the number of bytes that are kept.
func (b *Buffer) Len() int { return len(b.data) }

// Append keeps a copy of p. Errors: ErrTooLarge, and those of Reservation.Grow; the buffer is unchanged then.
func (b *Buffer) Append(p []byte) error {
	if err := b.Reserve(len(p)); err != nil {
		return err
	}
	b.data = append(b.data, p...)
	return nil
}

// Reserve makes room for n bytes more. Errors: those of Append.
func (b *Buffer) Reserve(n int) error {
	need := len(b.data) + n
	if need > b.maxBytes {
		return ErrTooLarge.New("more than %d bytes", b.maxBytes)
	}
	if need <= cap(b.data) {
		return nil
	}
	size := min(max(2*cap(b.data), need, unreservedBytes), b.maxBytes)
	reserved := max(size-unreservedBytes, 0)
	// Both the old and the new array are kept while the bytes are copied.
	if err := b.reservation.Grow(reserved); err != nil {
		return err
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	b.reservation.Shrink(b.reserved)
	b.reserved = reserved
	return nil
}

// Discard removes the first n bytes. A large array that holds nothing any more is released.
func (b *Buffer) Discard(n int) {
	b.data = b.data[:copy(b.data, b.data[n:])]
	if len(b.data) == 0 && b.reserved > 0 {
		b.Release()
	}
}

// Release drops all bytes and returns what was reserved for them.
func (b *Buffer) Release() {
	b.data = nil
	b.reservation.Shrink(b.reserved)
	b.reserved = 0
}
