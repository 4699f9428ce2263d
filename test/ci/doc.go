// Package ci tests the checks of the CI script that are programs of their own.
package ci
