package bench

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Scale changes a mix without changing which requests it has. Zero fields leave
// the mix as it is.
type Scale struct {
	Rate     float64       // arrivals a second
	Duration time.Duration // time over which they arrive
	Lengths  float64       // factor on prompt lengths
	Answers  float64       // factor on answer lengths
	Time     float64       // factor on deadlines and on the time of a wake
}

// Arrival is one request of a schedule.
type Arrival struct {
	Seq                  int           // position in the whole schedule
	At                   time.Duration // from the start
	Class                *Class
	Customer             *Customer
	Deadline             time.Duration
	UnscaledPromptTokens int    // prompt length before scaling; it gives the bucket
	PromptTokens         int    // after scaling
	AnswerTokens         int    // after scaling
	Variant              int    // of the shared prefix
	Unique               uint64 // makes the prompt and the key differ from all others
}

// IsShort says that the arrival is a completion with a short prompt.
func (a *Arrival) IsShort(m *Mix) bool {
	return a.Class.Model != "" && a.UnscaledPromptTokens < m.ShortBelowTokens
}

// Schedule returns the arrivals of a mix in the order of their time. They follow
// from the mix, the scale and the seed.
func Schedule(m *Mix, s Scale, seed uint64) []Arrival {
	rate, length := m.Rate, time.Duration(m.Duration)
	if s.Rate > 0 {
		rate = s.Rate
	}
	if s.Duration > 0 {
		length = s.Duration
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	var arrivals []Arrival
	for range int(math.Round(rate * length.Seconds())) {
		arrivals = append(arrivals, drawArrival(m, pickClass(m, rng), s, length, rng))
	}
	for i := range m.Classes {
		for range m.Classes[i].Count {
			arrivals = append(arrivals, drawArrival(m, &m.Classes[i], s, length, rng))
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	for i := range arrivals {
		arrivals[i].Seq = i
	}
	return arrivals
}

// ShortArrivals returns the short requests of a schedule, at the same times.
func ShortArrivals(m *Mix, arrivals []Arrival) []Arrival {
	var short []Arrival
	for _, a := range arrivals {
		if a.IsShort(m) {
			short = append(short, a)
		}
	}
	return short
}

// drawArrival returns one arrival. Times that are drawn uniformly and then sorted are
// those of a Poisson process whose number of arrivals is known.
func drawArrival(m *Mix, c *Class, s Scale, length time.Duration, rng *rand.Rand) Arrival {
	window := length
	if m.Wake != nil && rng.Float64() < m.Wake.Share {
		window = min(length, scaleTime(time.Duration(m.Wake.Within), s.Time))
	}
	a := Arrival{
		At:       time.Duration(rng.Float64() * float64(window)),
		Class:    c,
		Customer: pickCustomer(m, c, rng),
		Deadline: scaleTime(time.Duration(c.Deadline), s.Time),
		Unique:   rng.Uint64(),
	}
	if c.Model == "" {
		return a
	}
	a.UnscaledPromptTokens = c.PromptTokens.draw(rng)
	a.PromptTokens = scaleTokens(a.UnscaledPromptTokens, s.Lengths)
	a.AnswerTokens = scaleTokens(c.AnswerTokens.draw(rng), s.Answers)
	if c.SharedPrefix != nil {
		a.Variant = rng.IntN(c.SharedPrefix.Variants)
	}
	return a
}

func pickClass(m *Mix, rng *rand.Rand) *Class {
	left := rng.Float64() * m.totalShare()
	last := 0
	for i := range m.Classes {
		if m.Classes[i].Share == 0 {
			continue
		}
		last = i
		if left -= m.Classes[i].Share; left < 0 {
			break
		}
	}
	return &m.Classes[last]
}

func pickCustomer(m *Mix, c *Class, rng *rand.Rand) *Customer {
	var allowed []*Customer
	total := 0.0
	for i := range m.Customers {
		if c.allows(m.Customers[i].Name) {
			allowed = append(allowed, &m.Customers[i])
			total += m.Customers[i].Weight
		}
	}
	left := rng.Float64() * total
	for _, cu := range allowed {
		if left -= cu.Weight; left < 0 {
			return cu
		}
	}
	return allowed[len(allowed)-1]
}

func (c *Class) allows(customer string) bool {
	for _, name := range c.Customers {
		if name == customer {
			return true
		}
	}
	return len(c.Customers) == 0
}

func (l LengthDistribution) draw(rng *rand.Rand) int {
	lo, hi := l.Min, l.Max
	if rng.Float64() < l.TailShare {
		lo, hi = l.Max, l.TailMax
	}
	exponent := math.Log(float64(lo)) + rng.Float64()*math.Log(float64(hi)/float64(lo))
	return int(math.Round(math.Exp(exponent)))
}

func scaleTokens(n int, factor float64) int {
	if factor <= 0 {
		return n
	}
	return max(1, int(math.Round(float64(n)*factor)))
}

func scaleTime(d time.Duration, factor float64) time.Duration {
	if factor <= 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}
