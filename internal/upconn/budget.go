package upconn

import "io"

// unlimited is the budget of a reader without limit.
const unlimited = -1

// budgetReader limits how many bytes are read, because an upstream may send bytes
// without end where a head of limited size is expected.
type budgetReader struct {
	source io.Reader
	// left is the number of bytes that may still be read, or unlimited.
	left int
}

// Read implements io.Reader. Errors: ErrBroken if the budget is used up, and those of the
// source.
func (b *budgetReader) Read(p []byte) (int, error) {
	if b.left == unlimited {
		return b.source.Read(p)
	}
	if b.left == 0 {
		return 0, ErrBroken.New("upstream sent more bytes than allowed before a response")
	}
	n, err := b.source.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
