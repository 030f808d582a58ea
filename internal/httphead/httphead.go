// Package httphead says whether the head that an upstream, another VM or the store sent is that of an HTTP/1.1 response
// (RFC 9110, RFC 9112). The parser of net/http accepts more, for the sake of old servers. All clients of this product
// check heads here: package upconn its own, and each http.Transport behind transport.Checked.
package httphead

import (
	"net/http"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"
)

var namespace = errorx.NewNamespace("httphead")

// ErrInvalid reports bytes that are no response. The request may have run, and the connection must not be used again, as
// what follows on it can't be told.
var ErrInvalid = namespace.NewType("invalid")

// The first and the last status of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Check checks the status and the header of a response, which may be informational. Errors: ErrInvalid.
func Check(status int, h http.Header) error {
	switch {
	case status < minStatus || status > maxStatus:
		return ErrInvalid.New("status %03d is none of HTTP", status)
	case status == http.StatusSwitchingProtocols:
		return ErrInvalid.New("status %d, but no other protocol was asked for", status)
	case IsInformational(status) && announcesBody(h):
		return ErrInvalid.New("informational response with status %d and a body", status)
	}
	return CheckFields(h)
}

// CheckFields checks the names of the fields of a header or a trailer (RFC 9110, section 5.1). One that holds a blank may hide
// the length or the coding of the body. Errors: ErrInvalid.
func CheckFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrInvalid.New("invalid name of a field: %q", name)
		}
	}
	return nil
}

// IsInformational reports whether another response to the same request follows one with the status.
func IsInformational(status int) bool {
	return status >= minStatus && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// announcesBody reports whether the header announces a body.
func announcesBody(h http.Header) bool {
	length := h.Get("Content-Length")
	return length != "" && length != "0"
}
