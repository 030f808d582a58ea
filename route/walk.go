package route

// walk visits each of n indices once, in an order that depends on a random
// number: it starts anywhere and steps by a stride that has no divisor in
// common with n.
type walk struct {
	n, at, stride, left int
}

func newWalk(n int, draw uint64) walk {
	if n == 0 {
		return walk{}
	}
	at := int(draw % uint64(n))
	stride := 1 + int(mix(draw)%uint64(n))
	for gcd(stride, n) != 1 {
		stride++
	}
	return walk{n: n, at: at, stride: stride % n, left: n}
}

func (w *walk) next() (int, bool) {
	if w.left == 0 {
		return 0, false
	}
	i := w.at
	w.at = (w.at + w.stride) % w.n
	w.left--
	return i, true
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
