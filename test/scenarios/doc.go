// Package scenarios runs the scripted scenarios (*.txtar) over real processes:
// the daemon, the command-line tool and the stand-ins of engines, services and
// the platform. The stand-ins' records of what ran are the evidence that the checks use.
package scenarios
