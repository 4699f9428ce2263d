package bench

import (
	"fmt"
	"sync"

	"github.com/buckthorndock/buckthorndock/internal/cli/caller"
)

// promptSource builds prompts cheaply: the body of every prompt is a slice of one
// text, and a unique head makes prompts differ from their first KV block.
type promptSource struct {
	seed     uint64
	mu       sync.Mutex
	body     string            // grows to the longest prompt requested
	prefixes map[string]string // shared prefixes by class and variant
}

// minBodyTokens is the initial length of the body.
const minBodyTokens = 1 << 16

func newPromptSource(seed uint64) *promptSource {
	return &promptSource{seed: seed, prefixes: map[string]string{}}
}

// prompt returns the prompt of an arrival: its shared prefix, a unique head and the body.
func (p *promptSource) prompt(a *Arrival) string {
	want := a.PromptTokens * caller.BytesPerToken
	head := p.sharedPrefix(a) + fmt.Sprintf("%016x ", a.Unique)
	if len(head) >= want {
		return head[len(head)-want:]
	}
	return head + p.bodyText(a.PromptTokens)[:want-len(head)]
}

// sharedPrefix returns the prefix that the arrival shares with others of its class and
// variant, empty when the class has none.
func (p *promptSource) sharedPrefix(a *Arrival) string {
	if a.Class.SharedPrefix == nil {
		return ""
	}
	key := fmt.Sprintf("%s %d", a.Class.Name, a.Variant)
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.prefixes[key]; !ok {
		text := caller.Prompt(a.Class.SharedPrefix.Tokens, p.seed+uint64(a.Variant)+1)
		p.prefixes[key] = key + " " + text
	}
	return p.prefixes[key]
}

// bodyText returns the body, grown to at least the given number of tokens.
func (p *promptSource) bodyText(tokens int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.body) < tokens*caller.BytesPerToken {
		p.body = caller.Prompt(max(tokens, 2*len(p.body)/caller.BytesPerToken, minBodyTokens), p.seed)
	}
	return p.body
}
