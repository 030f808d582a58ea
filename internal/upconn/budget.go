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
	// lines is the number of lines that the head may still have, in which atLineStart reports whether no byte of the next
	// line has come. inHead is false outside of heads.
	lines               int
	inHead, atLineStart bool
}

// beginHead limits what follows to a head, and what comes with it.
func (b *budgetReader) beginHead() {
	b.left, b.lines, b.inHead, b.atLineStart = maxHeadBytes, maxHeadLines, true, false
}

// beginBody limits what follows to a number of bytes, or to none if that is unlimited.
func (b *budgetReader) beginBody(maxBytes int) { b.left, b.inHead = maxBytes, false }

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
	if b.countLines(p[:n]); b.lines < 0 {
		return 0, ErrBroken.New("upstream sent a head of more than %d lines", maxHeadLines)
	}
	return n, err
}

// countLines counts the lines of the head, up to its end.
func (b *budgetReader) countLines(p []byte) {
	for _, c := range p {
		switch {
		case !b.inHead:
			return
		case c == '\n':
			b.inHead = !b.atLineStart
			b.atLineStart = true
			b.lines--
		case c != '\r':
			b.atLineStart = false
		}
	}
}
