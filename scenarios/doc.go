// Package scenarios holds the scripted scenarios in testdata; README.md
// describes their language.
package scenarios
