// Package fleet has the fakes that the routing experiments share: a loop of
// events in virtual time, model engines, and random request sizes.
package fleet
