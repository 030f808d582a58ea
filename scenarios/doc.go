// Package scenarios contains end-to-end scenarios: testscript files in testdata that run a complete
// environment on loopback. README.md describes their commands, which package standin/scenario
// implements.
package scenarios
