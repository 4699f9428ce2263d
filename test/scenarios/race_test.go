//go:build race

package scenarios

// raceFlag has the programs under test built with the race detector, as these
// tests are.
const raceFlag = "-race=true"
