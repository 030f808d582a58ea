package session

import (
	"encoding/binary"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// A token's body is: format byte, key id, session id (8 bytes), expiry (8
// bytes, Unix seconds), account, number of pins (1 byte), and for each pin
// model, version and engine. A text is a length byte and its bytes.

const maxText = 255

func encode(key string, s Session) ([]byte, error) {
	if len(s.Pins) > MaxPins {
		return nil, ErrTooLarge.New("session has %d pins", len(s.Pins))
	}
	w := writer{out: []byte{format}}
	w.text(key)
	w.number(uint64(s.ID))
	w.number(uint64(s.Expires.Unix()))
	w.text(string(s.Account))
	w.out = append(w.out, byte(len(s.Pins)))
	for _, p := range s.Pins {
		w.text(string(p.Model))
		w.text(string(p.Version))
		w.text(string(p.Engine))
	}
	return w.out, w.err
}

func decode(body []byte) (Session, error) {
	r := reader{in: body}
	r.byte()
	r.text()
	s := Session{
		ID:      ID(r.number()),
		Expires: time.Unix(int64(r.number()), 0),
		Account: account.ID(r.text()),
	}
	n := int(r.byte())
	for i := 0; i < n && !r.failed; i++ {
		s.Pins = append(s.Pins, Pin{
			Model:   model.Name(r.text()),
			Version: model.VersionID(r.text()),
			Engine:  upstream.ID(r.text()),
		})
	}
	if r.failed || len(r.in) > 0 || n > MaxPins {
		return Session{}, ErrInvalid.New("token is malformed")
	}
	return s, nil
}

// keyID returns the id of the key that a body names.
func keyID(body []byte) (string, bool) {
	r := reader{in: body}
	if r.byte() != format {
		return "", false
	}
	id := r.text()
	return id, !r.failed
}

type writer struct {
	out []byte
	err error
}

func (w *writer) text(s string) {
	if len(s) > maxText {
		w.err = ErrTooLarge.New("name is longer than %d bytes", maxText)
		return
	}
	w.out = append(w.out, byte(len(s)))
	w.out = append(w.out, s...)
}

func (w *writer) number(n uint64) { w.out = binary.BigEndian.AppendUint64(w.out, n) }

type reader struct {
	in     []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if r.failed || len(r.in) < n {
		r.failed = true
		return make([]byte, n)
	}
	taken := r.in[:n]
	r.in = r.in[n:]
	return taken
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) text() string   { return string(r.take(int(r.byte()))) }
func (r *reader) number() uint64 { return binary.BigEndian.Uint64(r.take(8)) }
