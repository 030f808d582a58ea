package billing

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// timestampHexDigits is the number of hexadecimal digits of the timestamp in a request ID.
const timestampHexDigits = 11

// RequestID returns the ID of the n-th request that an incarnation receives. The ID contains the time
// at which it was issued, in milliseconds since 1970, so that every VM that bills the request knows
// that time.
func RequestID(issued time.Time, incarnation string, n uint64) string {
	return fmt.Sprintf("%0*x-%s-%x", timestampHexDigits, issued.UnixMilli(), incarnation, n)
}

// issuedAt returns when the request ID was issued, or now if RequestID did not make the ID.
func issuedAt(requestID string, now time.Time) time.Time {
	digits, _, _ := strings.Cut(requestID, "-")
	millis, err := strconv.ParseInt(digits, 16, 64)
	if err != nil || len(digits) != timestampHexDigits {
		return now.UTC()
	}
	return time.UnixMilli(millis).UTC()
}
