//go:build !race

package scenarios

// raceFlag is the setting of the race detector for the daemon.
const raceFlag = "-race=false"
