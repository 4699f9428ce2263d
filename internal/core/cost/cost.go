// Package cost predicts how long an engine takes for prefill and decode, from the
// figures that its service publishes. It is pure arithmetic: no I/O, goroutines or
// clocks.
//
// An engine works in passes. A pass prefills prompts in chunks and, if requests are
// decoding, runs a fixed number of token steps. So the prefill in a pass is a pause
// for all requests that decode on the same engine.
package cost

import "time"

// Figures are the published performance figures of one engine.
type Figures struct {
	Slots              int     // requests that run at once
	Memory             int64   // tokens
	Stride             int     // token steps of a pass with decodes, and tokens of an event
	Chunk              int     // maximum prompt tokens prefilled in one step
	StepMs             float64 // a token step without load
	PerSeqMs           float64 // added to a step for each decoding request
	ContextPerK        float64 // ms added to a step per 1,000 context tokens of the decoding requests
	PrefillTokensPerMs float64 // prompt tokens prefilled in a millisecond
	PairsMsPerM        float64 // ms per million pairs of a prompt token and an earlier one
	HopMs              float64 // added to a step of a prompt whose memory is spread over engines
	ReportLag          time.Duration
	UsualPrompt        int // tokens, mean
	UsualAnswer        int // tokens, mean
	MaxHelpers         int // maximum engines that help one to prefill a prompt; zero: none
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// PrefillTime returns the time that one engine takes to prefill a whole prompt alone. It
// grows with the square of the length: every token is paired with all before it.
func (f *Figures) PrefillTime(tokens int) time.Duration {
	n := float64(tokens)
	pairs := n * n / 2 / 1e6
	prefill := 0.0 // if the rate is not published
	if f.PrefillTokensPerMs > 0 {
		prefill = n / f.PrefillTokensPerMs
	}
	return millis(prefill + pairs*f.PairsMsPerM)
}

// PartPrefillTime returns the time that each of several engines takes to prefill its even
// part of a prompt.
func (f *Figures) PartPrefillTime(tokens, engines int) time.Duration {
	return f.PrefillTime(tokens) / time.Duration(max(engines, 1))
}

// StepTime returns the time of one token step with a number of decoding requests, whose
// contexts have context tokens in total.
func (f *Figures) StepTime(decodes int, context int64) time.Duration {
	return millis(f.StepMs + f.PerSeqMs*float64(decodes) + f.ContextPerK*float64(context)/1000)
}

// DecodeTime returns the time to decode an answer of a length in tokens, with a number of
// decoding requests, itself included, whose contexts have context tokens in total.
func (f *Figures) DecodeTime(answer, decodes int, context int64) time.Duration {
	return time.Duration(answer) * f.StepTime(decodes, context)
}
