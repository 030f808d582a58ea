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
	// expected is the length that the bytes will have; zero if unknown.
	expected int
}

// NewBuffer returns an empty buffer of at most maxBytes, for which the reservation grows.
func NewBuffer(r *Reservation, maxBytes int) *Buffer {
	return &Buffer{reservation: r, maxBytes: maxBytes}
}

// Expect sets the length that the bytes will have, so that no more is reserved for them. It takes no room yet.
func (b *Buffer) Expect(length int) { b.expected = max(length, 0) }

// Bytes returns the bytes that are kept. They are valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Len returns the number of bytes that are kept.
func (b *Buffer) Len() int { return len(b.data) }

// Fits returns why there is no room for n bytes in an empty buffer now, or nil. It reserves nothing. Errors: those of
// Reservation.Grow.
func (b *Buffer) Fits(n int) error {
	if n <= unreservedBytes {
		return nil
	}
	if err := b.reservation.reserve(n); err != nil {
		return err
	}
	b.reservation.Shrink(n)
	return nil
}

// Append keeps a copy of p. Errors: ErrTooLarge, and those of Reservation.Grow; the buffer is unchanged then.
func (b *Buffer) Append(p []byte) error {
	if err := b.makeRoom(len(p)); err != nil {
		return err
	}
	b.data = append(b.data, p...)
	return nil
}

// makeRoom makes room for n bytes more. Errors: those of Append.
func (b *Buffer) makeRoom(n int) error {
	need := len(b.data) + n
	if need > b.maxBytes {
		return ErrTooLarge.New("more than %d bytes", b.maxBytes)
	}
	if need <= cap(b.data) {
		return nil
	}
	size := min(max(sizeFor(need), unreservedBytes), b.maxBytes)
	if need <= b.expected {
		size = min(size, b.expected)
	}
	reserved := max(size-unreservedBytes, 0)
	// The old array is kept only while the bytes are copied.
	if err := b.reservation.reserve(reserved - b.reserved); err != nil {
		return err
	}
	old := b.data
	b.data = append(b.reservation.budget.newArray(size), old...)
	b.reservation.budget.recycle(old)
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

// Release drops all bytes and returns what was reserved for them. Slices returned by Bytes must not be used any more.
func (b *Buffer) Release() {
	old := b.data
	b.data = nil
	b.reservation.Shrink(b.reserved)
	b.reserved = 0
	b.reservation.budget.recycle(old)
}
