// Package explain tells a request's story from the logs of the VMs: what each
// attempt met, and what the VM believed and learnt meanwhile.
//
// Logs are lines of JSON as the gateway writes them. Whatever stands before the
// first brace of a line is passed over, so that collected logs can be read as
// they are, and so are lines of other programs.
package explain
