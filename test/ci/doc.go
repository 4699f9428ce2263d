// Package ci tests the separate programs that the CI script uses for its checks.
package ci
