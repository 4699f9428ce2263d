//go:build race

package scenarios

// raceFlag has the daemon built with the race detector, as these tests are.
const raceFlag = "-race=true"
