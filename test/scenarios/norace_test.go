//go:build !race

package scenarios

// raceFlag builds the daemon without the race detector, like these tests.
const raceFlag = "-race=false"
