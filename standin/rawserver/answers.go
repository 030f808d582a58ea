package rawserver

import (
	"net/http"
	"strings"
)

// InvalidStatuses returns what follows the protocol in the status lines of answers whose status is none of HTTP, or can't be
// that of an answer to a request which asks for no other protocol.
func InvalidStatuses() []string {
	return []string{"000 Odd", "000", "099 Odd", "+20 Odd", "-00 Odd", "101 Switching Protocols", "600 Odd", "999 Odd"}
}

// InvalidFields returns lines of a head whose names hold a blank, which net/http takes.
func InvalidFields() []string {
	return []string{"X-Probe Foo: 1", "X-Probe : 1", "Content-Length : 2", "Transfer-Encoding : chunked"}
}

// Lines answers each request with the text, whose line ends become CRLF, and leaves the connection open.
func Lines(text string) func(*http.Request) Answer {
	return func(*http.Request) Answer {
		return Answer{Text: strings.ReplaceAll(text, "\n", "\r\n"), End: StayOpen}
	}
}
