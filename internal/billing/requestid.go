package billing

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// millisWidth is the hexadecimal digits of a request id's time.
const millisWidth = 11

// RequestID returns the id of the n-th request that an incarnation takes, at
// the time. A request's id tells when it was issued, wherever it is billed.
func RequestID(issued time.Time, incarnation string, n uint64) string {
	return fmt.Sprintf("%0*x-%s-%x", millisWidth, issued.UnixMilli(), incarnation, n)
}

// issuedAt returns when the request id was issued, or now for a foreign id.
func issuedAt(requestID string, now time.Time) time.Time {
	digits, _, _ := strings.Cut(requestID, "-")
	millis, err := strconv.ParseInt(digits, 16, 64)
	if err != nil || len(digits) != millisWidth {
		return now.UTC()
	}
	return time.UnixMilli(millis).UTC()
}
