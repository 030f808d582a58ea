package transport

// MaxResponseHeaderBytes is the largest head of a response, informational responses included, that clients of this
// product read. It is set on each http.Transport.
const MaxResponseHeaderBytes = 64 << 10
