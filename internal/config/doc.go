// Package config reads and checks the daemon file: what a process must know
// before it can follow the settings. Everything else is in the settings.
package config
