// Package document defines the configuration document of an environment: client
// accounts, contracts, models, upstreams, roll-outs, withdrawals, cascades and
// takeover rules.
//
// The model: a document is text (JSON with comments). Parse decodes and
// validates it and returns every fault at once, with line and column. A valid
// document is compiled into an Index, which is immutable and answers the
// questions that are asked for each request without searching lists.
//
// The same bytes go to the trial environment and to production, so a document
// holds no addresses and no secrets; each process's settings give those.
package document
