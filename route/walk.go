package route

// walk visits each of n indices once in a pseudo-random order: it starts at a
// random index and advances by a stride that is coprime to n.
type walk struct {
	n, position, stride, remaining int
}

// newWalk returns a walk over n indices whose order is determined by draw.
func newWalk(n int, draw uint64) walk {
	if n == 0 {
		return walk{}
	}
	position := int(draw % uint64(n))
	stride := 1 + int(mix(draw)%uint64(n))
	for gcd(stride, n) != 1 {
		stride++
	}
	return walk{n: n, position: position, stride: stride % n, remaining: n}
}

// next returns the next index, or false when all indices were visited.
func (w *walk) next() (int, bool) {
	if w.remaining == 0 {
		return 0, false
	}
	i := w.position
	w.position = (w.position + w.stride) % w.n
	w.remaining--
	return i, true
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
