// Package target reads the target of a request line. Routes, rights and whether a request may run again
// depend on its path, which upstreams read for themselves. So there is one reading of it, the bytes as they
// are forwarded, and targets that other readers could take for another path are invalid.
package target

import (
	"strings"

	"github.com/joomcode/errorx"
)

// ErrInvalid reports a target that is malformed or can be read in more than one way.
var ErrInvalid = errorx.NewNamespace("target").NewType("invalid")

// Path returns the path of a target as it is on the request line, without the query string. Nothing in it is
// decoded or cleaned.
//
// Only the origin form ("/path?query") is valid: the absolute form names a second host. The path must not
// have malformed percent-encodings, an encoded NUL, bytes that are not visible, a fragment or a backslash,
// which some readers take for a slash. It must not have dot segments either, also if their dots or the slashes
// beside them are encoded, as RFC 3986 lets any recipient remove them. Encoded slashes and empty segments are
// valid: they are data of the path. Errors: ErrInvalid.
func Path(target string) (string, error) {
	if !strings.HasPrefix(target, "/") {
		return "", ErrInvalid.New("target %.100q is not in origin form", target)
	}
	if strings.IndexByte(target, '#') >= 0 {
		return "", ErrInvalid.New("target %.100q has a fragment", target)
	}
	path, _, _ := strings.Cut(target, "?")
	segment := segmentReader{}
	for i := 0; i < len(path); {
		b, width, ok := unescape(path[i:])
		switch {
		case !ok:
			return "", ErrInvalid.New("path %.100q has a malformed percent-encoding", path)
		case b == 0 || width == 1 && (b <= ' ' || b == 0x7f || b == '\\'):
			return "", ErrInvalid.New("path %.100q has a NUL, a space, a control character or a backslash", path)
		case segment.endsDots(b):
			return "", ErrInvalid.New("path %.100q has a dot segment", path)
		}
		i += width
	}
	if segment.isDots() {
		return "", ErrInvalid.New("path %.100q has a dot segment", path)
	}
	return path, nil
}

// unescape returns the first byte of a path that is not empty, decoded, and the number of bytes that it
// takes. It returns false for a malformed percent-encoding.
func unescape(path string) (b byte, width int, ok bool) {
	if path[0] != '%' {
		return path[0], 1, true
	}
	if len(path) < len("%00") {
		return 0, 0, false
	}
	high, highOK := hexDigit(path[1])
	low, lowOK := hexDigit(path[2])
	return high<<4 | low, len("%00"), highOK && lowOK
}

func hexDigit(b byte) (byte, bool) {
	switch {
	case '0' <= b && b <= '9':
		return b - '0', true
	case 'a' <= b && b <= 'f':
		return b - 'a' + 10, true
	case 'A' <= b && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}

// segmentReader follows the segments of a decoded path.
type segmentReader struct {
	dots  int
	other bool
}

// endsDots reads the next byte, and reports whether it ends a dot segment. Encoded backslashes end
// segments, too.
func (s *segmentReader) endsDots(b byte) bool {
	switch b {
	case '/', '\\':
		dots := s.isDots()
		*s = segmentReader{}
		return dots
	case '.':
		s.dots++
	default:
		s.other = true
	}
	return false
}

// isDots reports whether the segment read so far is "." or "..".
func (s *segmentReader) isDots() bool { return !s.other && (s.dots == 1 || s.dots == 2) }
