// Package engines keeps what a VM knows of the upstreams that register with
// the platform: which there are, which are leaving, how loaded they seem and
// how they fared, and chooses among them.
//
// An entry that vanishes while the store is out, or within Options.Return of
// its return, may have lapsed only because its upstream could not reach the
// store. It is kept until that time has passed, and then is taken as gone. What
// was seen to be leaving stays so.
package engines
