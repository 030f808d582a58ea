// Package reach measures both errors of the decision that a VM has lost its way to upstreams:
// how long it takes, and how often it is wrong while upstreams fail by themselves.
//
// One VM sends requests to upstreams at random. Its way is cut for some time, or upstreams end
// or fall silent; connections are kept or opened anew. While the VM takes its way for lost, it
// sends nothing there but probes. The simulation advances from event to event.
package reach
