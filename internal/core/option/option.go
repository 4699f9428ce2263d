// Package option fills in the defaults of options structs.
package option

import "time"

// Number is the type of an option that has a default.
type Number interface {
	int | int64 | float64 | time.Duration
}

// Default sets an option that is zero or negative to value.
func Default[T Number](option *T, value T) {
	if *option <= 0 {
		*option = value
	}
}
