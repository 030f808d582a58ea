// Package explain reconstructs the timeline of a request from the logs of the VMs:
// each attempt with its outcome, and what the VMs logged about themselves and the
// request's upstreams at that time.
//
// A log has one JSON object per line, as the gateway writes it. Anything before the
// first brace of a line is ignored, so that logs with prefixes from a log collector
// can be read unchanged. Lines of other programs are skipped.
package explain
