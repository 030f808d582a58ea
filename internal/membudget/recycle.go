package membudget

import (
	"math/bits"
	"sync"
)

// recycled holds arrays that buffers have outgrown, by the exponent of their size, so that a buffer that grows leaves no
// garbage of its own size.
var recycled [bits.UintSize]sync.Pool

// sizeFor returns the size of the array for need bytes: the next power of two.
func sizeFor(need int) int { return 1 << bits.Len(uint(need-1)) }

// newArray returns an empty slice with the capacity. Its array may have been used before.
func newArray(size int) []byte {
	if array, ok := recycled[bits.Len(uint(size))].Get().(*[]byte); ok && cap(*array) == size {
		return (*array)[:0]
	}
	return make([]byte, 0, size)
}

// recycle keeps an array for reuse. Nothing else may refer to it.
func recycle(array []byte) {
	if size := cap(array); size > unreservedBytes {
		recycled[bits.Len(uint(size))].Put(&array)
	}
}
