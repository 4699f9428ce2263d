package placement

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// Options tunes a View. A zero field takes its default.
type Options struct {
	Samples int // candidates drawn for one placement, 3

	ReportSlack time.Duration // a report shows placements older than this at its time, 10 ms
	StaleAfter  time.Duration // age from which a report is penalised, 3 s
	MaxDrain    time.Duration // longest time for which work is assumed done since a report, 1 s
	MaxFlight   time.Duration // a placement without a deadline is forgotten after it, 1 h
	FlightGrace time.Duration // a placement is forgotten this long after its deadline, 30 s

	PrefillRate    float64       // tokens a second without report or observation, 4000
	DecodeRate     float64       // tokens a second of one stream without either, 20
	TokensPerByte  float64       // of a prompt, without observation, 0.25
	AnswerShare    float64       // expected answer as a share of its bound, without observation, 0.25
	MemoryHoldTime time.Duration // time for which a request holds memory, without observation, 10 s
	StepTokens     int           // prompt tokens that an engine computes before it turns to another request, 2048
	RateHalfLife   time.Duration // after it an observation counts half, 30 s

	PrefixBlocks int // cached blocks kept for one engine, 2048

	WorkHalfLife   time.Duration // of the offered work that moves the boundary, 20 s
	ShortSkew      float64       // from 1 on: how much less the engines of the shortest work carry, 1.5
	UpperLoad      float64       // from 1 on: most load of the engines of the longest work, against the mean, 1.15
	LimitSlack     float64       // multiple of an engine's limit up to which short prompts are taken, 2
	SimilarRatio   float64       // engines whose limit is at most this multiple of the prompt are drawn first, 4
	LongSlack      float64       // multiple of the long length below which the first engine's limit always stays, 2
	PromotePart    float64       // prompts below this part of the long length go before others, 0.125
	PromoteShare   float64       // as long as they are at most this share of the work, 0.25
	DemoteFrom     float64       // multiple of the long length from which prompts go after others, 4
	BoundaryMargin float64       // engines by which the target must differ before it moves, 0.75
	BoundaryDwell  time.Duration // least time between two moves, 2 s
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

// demoteFrom returns the length from which prompts go after others.
func (o *Options) demoteFrom(longFrom int) float64 {
	return o.DemoteFrom * float64(longFrom)
}

// promoteBelow returns the length below which prompts go before others.
func (o *Options) promoteBelow(longFrom int) float64 {
	return o.PromotePart * float64(longFrom)
}
