// Package cost predicts how long an engine takes, from the figures that its
// service publishes. It is pure arithmetic: no I/O, goroutines or clocks.
//
// An engine works in passes. A pass reads prompts in chunks and, where requests
// are writing, runs a fixed number of token steps. So what is read during a pass
// is a pause for all who write on the same engine.
package cost

import "time"

// Figures are the published costs of one engine.
type Figures struct {
	Slots              int     // requests that run at once
	Memory             int64   // tokens
	Stride             int     // token steps of a pass with writers, and tokens of an event
	Chunk              int     // prompt tokens read in one step, at the most
	StepMs             float64 // a token step without load
	PerSeqMs           float64 // added to a step for each writer
	ContextPerK        float64 // ms added to a step per 1,000 tokens of the writers' contexts
	PrefillTokensPerMs float64 // prompt tokens read in a millisecond
	PairsMsPerM        float64 // ms per million pairs of a prompt token and an earlier one
	HopMs              float64 // added to a step of a prompt that is spread over engines
	ReportLag          time.Duration
	UsualPrompt        int // tokens, mean
	UsualAnswer        int // tokens, mean
	MaxHelpers         int // engines that may help one to read a prompt; zero: none
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// PrefillTime returns the time that one engine takes to read a whole prompt alone. It
// grows with the square of the length: every token is paired with all before it.
func (f *Figures) PrefillTime(tokens int) time.Duration {
	n := float64(tokens)
	pairs := n * n / 2 / 1e6
	read := 0.0 // where the rate is not published
	if f.PrefillTokensPerMs > 0 {
		read = n / f.PrefillTokensPerMs
	}
	return millis(read + pairs*f.PairsMsPerM)
}

// PartPrefillTime returns the time that each of several engines takes to read its even part
// of a prompt.
func (f *Figures) PartPrefillTime(tokens, engines int) time.Duration {
	return f.PrefillTime(tokens) / time.Duration(max(engines, 1))
}

// StepTime returns the time of one token step beside other writers with a context, in
// tokens, of all writers together.
func (f *Figures) StepTime(writers int, context int64) time.Duration {
	return millis(f.StepMs + f.PerSeqMs*float64(writers) + f.ContextPerK*float64(context)/1000)
}

// DecodeTime returns the time to write an answer beside other writers.
func (f *Figures) DecodeTime(answer, writers int, context int64) time.Duration {
	return time.Duration(answer) * f.StepTime(writers, context)
}
