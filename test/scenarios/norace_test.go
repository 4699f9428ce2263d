//go:build !race

package scenarios

// raceFlag is the setting of the race detector for the programs under test.
const raceFlag = "-race=false"
