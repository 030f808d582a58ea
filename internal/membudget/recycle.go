package membudget

import (
	"math/bits"
	"slices"
)

// arrays are arrays that buffers have outgrown or released, by the exponent of their size, which is a power of two. A sync.Pool
// would lose them at each second collection, and the next ones would be garbage of the same size; nor could what it holds be
// counted.
type arrays struct {
	byExponent [bits.UintSize][][]byte
	bytes      int64
}

// exponentOf returns the exponent of a size, and false if it is no power of two.
func exponentOf(size int) (int, bool) {
	return bits.TrailingZeros(uint(size)), bits.OnesCount(uint(size)) == 1
}

// take removes an array of the size and returns it; nil if there is none.
func (a *arrays) take(size int) []byte {
	exponent, ok := exponentOf(size)
	if !ok || len(a.byExponent[exponent]) == 0 {
		return nil
	}
	return a.pop(exponent)
}

// pop removes an array of the size with the exponent and returns it. There must be one.
func (a *arrays) pop(exponent int) []byte {
	same := &a.byExponent[exponent]
	last := len(*same) - 1
	array := (*same)[last]
	*same = slices.Delete(*same, last, last+1)
	a.bytes -= int64(cap(array))
	return array
}

// put adds an array. One of a size that is no power of two, which few buffers need, is left to the collector.
func (a *arrays) put(array []byte) {
	exponent, ok := exponentOf(cap(array))
	if !ok {
		return
	}
	a.byExponent[exponent] = append(a.byExponent[exponent], array[:0])
	a.bytes += int64(cap(array))
}

// trim drops arrays, the smallest first, until they have no more than the given number of bytes.
func (a *arrays) trim(bytes int64) {
	for exponent := 0; exponent < len(a.byExponent) && a.bytes > bytes; exponent++ {
		for len(a.byExponent[exponent]) > 0 && a.bytes > bytes {
			a.pop(exponent)
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
