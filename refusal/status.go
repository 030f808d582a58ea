package refusal

import "net/http"

// StatesNotRun reports whether a response with the status states that the request has not run and never will, so that its
// caller may send any request again.
func StatesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// StatusAfterRun returns the status of the refusal of a request that may have run: 502 in place of one that states that it
// has not.
func (r *Refusal) StatusAfterRun() int {
	if StatesNotRun(r.Status) {
		return http.StatusBadGateway
	}
	return r.Status
}
