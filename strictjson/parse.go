package strictjson

import (
	"bytes"
	"slices"

	"github.com/tailscale/hujson"
)

// maxDepth is the maximum number of arrays and objects that contain a value. The parser
// calls itself once per level and has no bound of its own: a stack overflow ends the
// process.
const maxDepth = 64

// Standardize returns src as JSON without comments and trailing commas. It doesn't change
// src. Errors: ErrTooDeep, ErrInvalid.
func Standardize(src []byte) ([]byte, error) {
	value, err := parse(slices.Clone(src))
	if err != nil {
		return nil, err
	}
	value.Standardize()
	return value.Pack(), nil
}

// Patch applies a JSON Patch (RFC 6902) to src and preserves the comments and layout of
// src. It doesn't change src. Errors: ErrTooDeep, ErrInvalid.
func Patch(src, patch []byte) ([]byte, error) {
	value, err := parse(slices.Clone(src))
	if err != nil {
		return nil, err
	}
	if err := checkDepth(patch); err != nil {
		return nil, err
	}
	if err := value.Patch(patch); err != nil {
		return nil, ErrInvalid.Wrap(err, "patch")
	}
	return value.Pack(), nil
}

// parse parses src if it is nested at most maxDepth levels deep. The result refers to
// src. Errors: ErrTooDeep, ErrInvalid.
func parse(src []byte) (hujson.Value, error) {
	if err := checkDepth(src); err != nil {
		return hujson.Value{}, err
	}
	value, err := hujson.Parse(src)
	if err != nil {
		return hujson.Value{}, ErrInvalid.Wrap(err, "parse")
	}
	return value, nil
}

// checkDepth returns an error of type ErrTooDeep with the position of the first bracket
// that is nested deeper than maxDepth levels, or nil if there is none.
func checkDepth(src []byte) error {
	offset, ok := excessBracket(src)
	if !ok {
		return nil
	}
	line, column := lineColumn(src, offset)
	return ErrTooDeep.New("line %d, column %d: %s", line, column, tooDeepMessage())
}

// excessBracket returns the offset of the first opening bracket that is nested deeper than
// maxDepth levels. Brackets in strings and comments don't count. It reads src once, without
// recursion. Up to the first syntax error, it counts the levels that the parser sees; the
// parser reads no further than that.
func excessBracket(src []byte) (offset int, ok bool) {
	depth := 0
	for i := 0; i < len(src); i++ {
		switch src[i] {
		case '[', '{':
			if depth++; depth > maxDepth {
				return i, true
			}
		case ']', '}':
			depth--
		case '"':
			i = endOfString(src, i)
		case '/':
			i = endOfComment(src, i)
		}
	}
	return 0, false
}

// endOfString returns the offset of the quotation mark that ends the string that begins at
// start, or the length of src if the string has no end.
func endOfString(src []byte, start int) int {
	for i := start + 1; i < len(src); i++ {
		switch src[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(src)
}

// endOfComment returns the offset of the last byte of the comment that begins at start, the
// length of src if the comment has no end, or start if there is no comment.
func endOfComment(src []byte, start int) int {
	var end []byte
	switch {
	case bytes.HasPrefix(src[start:], []byte("//")):
		end = []byte("\n")
	case bytes.HasPrefix(src[start:], []byte("/*")):
		end = []byte("*/")
	default:
		return start
	}
	body := start + len("//")
	i := bytes.Index(src[body:], end)
	if i < 0 {
		return len(src)
	}
	return body + i + len(end) - 1
}

// lineColumn returns the line and column of a byte offset in src, both counted from 1.
func lineColumn(src []byte, offset int) (line, column int) {
	before := src[:min(offset, len(src))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}
