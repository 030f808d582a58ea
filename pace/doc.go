// Package pace estimates when an answer ends: how fast the upstreams of a service generate
// events, and how many events an answer has.
//
// Usual estimates the time between two events of a model on an idle upstream of usual speed,
// Factor how much longer one upstream takes, and Lengths the number of events of answers by
// route. Durations estimates how long requests take by route. Delay estimates how much later answers
// begin than their work explains. Stream says whether an answer in progress is too slow, and whether
// it pays to go on elsewhere. Shared holds what other VMs found of the lasting speed of an upstream,
// and Division divides upstreams by speed between small and large models.
//
// The package reads no clock and does no input or output. Estimates fade: Factor returns to its
// prior, 1 by default, within some ten seconds without samples, and Durations forgets what is two minutes
// old.
package pace
