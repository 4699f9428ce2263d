package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what one customer demands of a divided amount.
type Demand struct {
	Weight float64 // zero, negative and infinite ones and NaN count as 1
	Amount int64
}

// Divide divides an amount by weighted max-min fairness: the level is raised until the demands up to
// it, relative to the weights, take the whole amount. It returns the shares in the order of the
// demands.
func Divide(amount int64, demands []Demand) []int64 {
	shares := make([]int64, len(demands))
	order := make([]int, len(demands))
	weights := 0.0
	for i := range demands {
		order[i] = i
		weights += validWeight(demands[i].Weight)
	}
	level := func(i int) float64 { return float64(demands[i].Amount) / validWeight(demands[i].Weight) }
	slices.SortFunc(order, func(x, y int) int { return cmp.Or(cmp.Compare(level(x), level(y)), cmp.Compare(x, y)) })
	for _, i := range order {
		weight := validWeight(demands[i].Weight)
		even := math.Round(float64(amount) * weight / weights)
		shares[i] = max(min(demands[i].Amount, int64(even), amount), 0)
		amount -= shares[i]
		weights = max(weights-weight, minWeight)
	}
	return shares
}

// divide computes the fair shares of all customers.
//
// What is divided is the engine time that was granted within the window, at most the capacity.
// While claims wait, engines cannot grant more, also where gaps between prompts keep them from
// working all the time.
func (a *Accounts) divide(now time.Time) {
	newest := bucketOf(now)
	var granted time.Duration
	all := make([]*account, 0, len(a.customers))
	for _, acc := range a.customers {
		acc.total.advance(newest)
		granted += acc.total.sum
		all = append(all, acc)
	}
	slices.SortFunc(all, func(x, y *account) int { return cmp.Compare(x.name, y.name) })
	demands := make([]Demand, len(all))
	for i, acc := range all {
		demands[i] = Demand{Weight: acc.weight, Amount: int64(acc.demand())}
	}
	for i, share := range Divide(int64(min(granted, a.capacity)), demands) {
		all[i].share = time.Duration(share)
	}
}
