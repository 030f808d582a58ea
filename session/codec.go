package session

import (
	"encoding/binary"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// The body of a token consists of the format version (1 byte), key id, session id
// (8 bytes), expiry (8 bytes, Unix seconds), account, number of pins (1 byte), and the
// model, version and engine of each pin. Integers are big-endian. A string is encoded
// as a length byte followed by its bytes.

// maxStringBytes is the maximum length of a string, which has a one-byte length prefix.
const maxStringBytes = 255

// encode returns the body of a token to be signed with the named key. It returns
// ErrTooLarge for too many pins and too long strings.
func encode(key string, s Session) ([]byte, error) {
	if len(s.Pins) > MaxPins {
		return nil, ErrTooLarge.New("session has too many pins: %d", len(s.Pins))
	}
	w := encoder{out: []byte{formatVersion}}
	w.str(key)
	w.uint64(uint64(s.ID))
	w.uint64(uint64(s.Expires.Unix()))
	w.str(string(s.Account))
	w.out = append(w.out, byte(len(s.Pins)))
	for _, p := range s.Pins {
		w.str(string(p.Model))
		w.str(string(p.Version))
		w.str(string(p.Engine))
	}
	return w.out, w.err
}

// decode returns the session of a token body. It returns ErrInvalid for a malformed
// body.
func decode(body []byte) (Session, error) {
	r := decoder{in: body}
	r.byte()
	r.str()
	s := Session{
		ID:      ID(r.uint64()),
		Expires: time.Unix(int64(r.uint64()), 0),
		Account: account.ID(r.str()),
	}
	n := int(r.byte())
	for i := 0; i < n && !r.failed; i++ {
		s.Pins = append(s.Pins, Pin{
			Model:   model.Name(r.str()),
			Version: model.VersionID(r.str()),
			Engine:  upstream.ID(r.str()),
		})
	}
	if r.failed || len(r.in) > 0 || n > MaxPins {
		return Session{}, ErrInvalid.New("token body is malformed")
	}
	return s, nil
}

// keyID returns the id of the key that signed a body according to the body itself. It
// returns false for a malformed body and other format versions.
func keyID(body []byte) (string, bool) {
	r := decoder{in: body}
	if r.byte() != formatVersion {
		return "", false
	}
	id := r.str()
	return id, !r.failed
}

// encoder appends values to out. If a string is too long, it sets err.
type encoder struct {
	out []byte
	err error
}

func (w *encoder) str(s string) {
	if len(s) > maxStringBytes {
		w.err = ErrTooLarge.New("string in token is longer than %d bytes", maxStringBytes)
		return
	}
	w.out = append(w.out, byte(len(s)))
	w.out = append(w.out, s...)
}

func (w *encoder) uint64(n uint64) { w.out = binary.BigEndian.AppendUint64(w.out, n) }

// decoder consumes values from in. After reading beyond the end, failed is set and
// values are zero.
type decoder struct {
	in     []byte
	failed bool
}

func (r *decoder) next(n int) []byte {
	if r.failed || len(r.in) < n {
		r.failed = true
		return make([]byte, n)
	}
	out := r.in[:n]
	r.in = r.in[n:]
	return out
}

func (r *decoder) byte() byte     { return r.next(1)[0] }
func (r *decoder) str() string    { return string(r.next(int(r.byte()))) }
func (r *decoder) uint64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }
