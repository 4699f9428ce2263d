package admission

import (
	"cmp"
	"math/bits"
	"slices"
)

// claim is one host's or domain's claim on a limit.
type claim struct {
	floor    int    // allocated first
	weight   uint64 // share of the rest
	tieBreak uint64 // decides which of two equal remainders gets the last unit
}

// allocate divides total among the claims: first the floors, if they fit, then the
// rest by weight, with the largest remainders rounded up. It uses integers only, so
// that hosts with the same view get the same result, and the parts add up to total
// exactly.
func allocate(total int, claims []claim) []int {
	out := make([]int, len(claims))
	var floors int
	var weights uint64
	for _, c := range claims {
		floors += c.floor
		weights += c.weight
	}
	rest := total
	if floors <= total {
		for i, c := range claims {
			out[i] = c.floor
		}
		rest -= floors
	}
	if len(claims) == 0 || rest <= 0 {
		return out
	}
	rems := make([]uint64, len(claims))
	given := 0
	for i, c := range claims {
		weight, all := c.weight, weights
		if weights == 0 {
			weight, all = 1, uint64(len(claims))
		}
		hi, lo := bits.Mul64(uint64(rest), weight)
		quota, rem := bits.Div64(hi, lo, all) // hi < all, since weight <= all
		out[i] += int(quota)
		rems[i] = rem
		given += int(quota)
	}
	roundUp(out, rems, claims, rest-given)
	return out
}

// roundUp distributes the n units left over by rounding down, n < len(claims).
func roundUp(out []int, rems []uint64, claims []claim, n int) {
	if n == 0 {
		return
	}
	order := make([]int, len(claims))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(rems[b], rems[a]), cmp.Compare(claims[b].tieBreak, claims[a].tieBreak), cmp.Compare(a, b))
	})
	for _, i := range order[:n] {
		out[i]++
	}
}
