//go:build race

package scenarios

// raceFlag builds the daemon with the race detector, like these tests.
const raceFlag = "-race=true"
