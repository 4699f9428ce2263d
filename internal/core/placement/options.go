package placement

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// Options tunes a View. A zero field takes its default, the number at the end of its comment.
type Options struct {
	Samples int // candidates sampled for one placement, 3

	ReportSlack time.Duration // a report includes placements that were at least this old when it was taken, 10 ms
	StaleAfter  time.Duration // age from which a report is penalised, 3 s
	MaxDrain    time.Duration // longest time since a report for which the engine is assumed to have worked, 1 s
	MaxFlight   time.Duration // age at which Expire removes a placement without a deadline, 1 h
	FlightGrace time.Duration // time after its deadline at which Expire removes a placement, 30 s

	PrefillRate    float64       // prompt tokens per second without report or observation, 4000
	DecodeRate     float64       // tokens per second of one stream without report or observation, 20
	TokensPerByte  float64       // of a prompt, prior without observation, 0.25
	AnswerShare    float64       // expected answer as a share of MaxTokens, prior without observation, 0.25
	MemoryHoldTime time.Duration // time for which a request holds memory, prior without observation, 10 s
	StepTokens     int           // prompt tokens that an engine computes before it switches to another request, 2048
	RateHalfLife   time.Duration // half-life of the weight of an observation, 30 s

	PrefixBlocks int // most cached blocks recorded for one engine, 2048

	WorkHalfLife   time.Duration // half-life of the offered work that sets the boundary, 20 s
	ShortSkew      float64       // at least 1; the higher, the less work the engines for the shortest prompts get, 1.5
	UpperLoad      float64       // at least 1; most load of the engines for the longest prompts as a multiple of the mean, 1.15
	LimitSlack     float64       // multiple of an engine's limit up to which it accepts short prompts, 2
	SimilarRatio   float64       // engines whose limit is at most this multiple of the prompt are sampled first, 4
	LongSlack      float64       // the first engine's limit is below this multiple of LongFrom, 2
	PromotePart    float64       // prompts shorter than this multiple of LongFrom are sent as urgent, 0.125
	PromoteShare   float64       // but only while such prompts are at most this share of the work, 0.25
	DemoteFrom     float64       // prompts from this multiple of LongFrom are sent as bulk, 4
	BoundaryMargin float64       // number of engines by which the work must shift before the boundary is recomputed, 0.75
	BoundaryDwell  time.Duration // least time between two checks of the boundary, 2 s
}

func (o Options) withDefaults() Options {
	option.Default(&o.Samples, 3)
	option.Default(&o.ReportSlack, 10*time.Millisecond)
	option.Default(&o.StaleAfter, 3*time.Second)
	option.Default(&o.MaxDrain, time.Second)
	option.Default(&o.MaxFlight, time.Hour)
	option.Default(&o.FlightGrace, 30*time.Second)
	option.Default(&o.PrefillRate, 4000)
	option.Default(&o.DecodeRate, 20)
	option.Default(&o.TokensPerByte, 0.25)
	option.Default(&o.AnswerShare, 0.25)
	option.Default(&o.MemoryHoldTime, 10*time.Second)
	option.Default(&o.StepTokens, 2048)
	option.Default(&o.RateHalfLife, 30*time.Second)
	option.Default(&o.PrefixBlocks, 2048)
	option.Default(&o.WorkHalfLife, 20*time.Second)
	option.Default(&o.ShortSkew, 1.5)
	option.Default(&o.UpperLoad, 1.15)
	option.Default(&o.LimitSlack, 2)
	option.Default(&o.SimilarRatio, 4)
	option.Default(&o.LongSlack, 2)
	option.Default(&o.PromotePart, 0.125)
	option.Default(&o.PromoteShare, 0.25)
	option.Default(&o.DemoteFrom, 4)
	option.Default(&o.BoundaryMargin, 0.75)
	option.Default(&o.BoundaryDwell, 2*time.Second)
	return o
}

// demoteFrom returns the length in tokens from which prompts are sent as bulk.
func (o *Options) demoteFrom(longFrom int) float64 {
	return o.DemoteFrom * float64(longFrom)
}

// promoteBelow returns the length in tokens below which prompts may be sent as urgent.
func (o *Options) promoteBelow(longFrom int) float64 {
	return o.PromotePart * float64(longFrom)
}
