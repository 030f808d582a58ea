package membudget

import (
	"errors"
	"io"
	"sync"
)

// chunkBytes is how much is read at once.
const chunkBytes = 32 << 10

// chunks holds arrays for reads.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// ReadFrom reads r to its end into the buffer. Errors: those of r, but io.EOF, and those of Append.
func (b *Buffer) ReadFrom(r io.Reader) (int64, error) {
	chunk := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(chunk)
	read := int64(0)
	for {
		n, err := r.Read(chunk[:])
		read += int64(n)
		if keepErr := b.Append(chunk[:n]); keepErr != nil {
			return read, keepErr
		}
		switch {
		case errors.Is(err, io.EOF):
			return read, nil
		case err != nil:
			return read, err
		}
	}
}
