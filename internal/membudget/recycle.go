package membudget

import (
	"math/bits"
	"slices"
)

// arrays are arrays that buffers have outgrown or released, by the exponent of their size. A sync.Pool would lose them at each
// second collection, and the next ones would be garbage of the same size; nor could what it holds be counted.
type arrays struct {
	bySize [bits.UintSize + 1][][]byte
	bytes  int64
}

// take removes an array of exactly the size and returns it; nil if there is none.
func (a *arrays) take(size int) []byte {
	class := &a.bySize[bits.Len(uint(size))]
	for i := len(*class) - 1; i >= 0; i-- {
		if array := (*class)[i]; cap(array) == size {
			*class = slices.Delete(*class, i, i+1)
			a.bytes -= int64(size)
			return array
		}
	}
	return nil
}

// put adds an array.
func (a *arrays) put(array []byte) {
	class := &a.bySize[bits.Len(uint(cap(array)))]
	*class = append(*class, array[:0])
	a.bytes += int64(cap(array))
}

// trim drops arrays, the smallest first, until they have no more than the given number of bytes.
func (a *arrays) trim(bytes int64) {
	for i := 0; i < len(a.bySize) && a.bytes > bytes; i++ {
		for class := &a.bySize[i]; len(*class) > 0 && a.bytes > bytes; {
			last := len(*class) - 1
			a.bytes -= int64(cap((*class)[last]))
			*class = slices.Delete(*class, last, last+1)
		}
	}
}

// sizeFor returns the size of the array for need bytes: the next power of two.
func sizeFor(need int) int { return 1 << bits.Len(uint(need-1)) }

// newArray returns an empty slice with the capacity, which is reserved already. Its array may have been used before.
func (b *Budget) newArray(size int) []byte {
	if array := b.reuse(size); array != nil {
		return array
	}
	return make([]byte, 0, size)
}

// reuse returns an unused array of the size; nil if there is none.
func (b *Budget) reuse(size int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	array := b.unused.take(size)
	b.unused.trim(b.limit - b.used)
	return array
}

// recycle keeps an array that is no longer reserved for reuse, if there is room. Nothing else may refer to it.
func (b *Budget) recycle(array []byte) {
	if cap(array) <= unreservedBytes {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unused.put(array)
	b.unused.trim(b.limit - b.used)
}

// trimUnused drops unused arrays for which there is no room any more.
func (b *Budget) trimUnused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unused.trim(b.limit - b.used)
}
