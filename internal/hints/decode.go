package hints

import (
	"encoding/json"
	"time"
)

// ErrInvalid reports a datagram that is no hint, or a hint with figures that no VM sends.
var ErrInvalid = namespace.NewType("invalid")

const (
	// maxHinted bounds times in hints, so that they can be represented.
	maxHinted = 24 * time.Hour
	// A limit, in requests per second, lies between minLimit and maxLimit. Under a smaller one no VM would
	// ever send a request that could show that the limit has ended.
	minLimit = 0.05
	maxLimit = 1e6
)

// Decode decodes a datagram. Figures beyond their upper bounds become the bound; negative ones are invalid.
// Errors: ErrInvalid.
func Decode(datagram []byte) (Hint, error) {
	var h Hint
	if err := json.Unmarshal(datagram, &h); err != nil {
		return Hint{}, ErrInvalid.Wrap(err, "decode hint")
	}
	if h.WorkMS < 0 || h.Limit != nil && *h.Limit < 0 || h.Cold != nil && *h.Cold < 0 {
		return Hint{}, ErrInvalid.New("hint on upstream %q with a negative figure", h.Upstream)
	}
	h.WorkMS = min(h.WorkMS, maxHinted.Milliseconds())
	if h.Limit != nil && *h.Limit > 0 {
		*h.Limit = min(max(*h.Limit, minLimit), maxLimit)
	}
	if h.Cold != nil {
		*h.Cold = min(*h.Cold, maxHinted.Milliseconds())
	}
	return h, nil
}

// Work returns the expected time that the upstream is busy with the announced request.
func (h Hint) Work() time.Duration { return time.Duration(h.WorkMS) * time.Millisecond }
