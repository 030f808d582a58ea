// Package relay carries callers' requests to upstreams and their answers back.
//
// The model: one exchange stands for one caller's request. It is matched to a
// route and a client account, gets a version, and is sent to upstreams in one
// or more attempts: another one where the first did not run it, where it may
// run again, where a stream broke off and can go on elsewhere, or where a
// model of a cascade thinks little of its answer. Exactly one answer reaches
// the caller, unchanged. What can't be finished is broken off, and a refusal
// is sent as soon as it is certain.
//
// The protocol of callers and upstreams sits behind Protocol.
package relay
