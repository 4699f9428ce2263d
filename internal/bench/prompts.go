package bench

import (
	"fmt"
	"sync"

	"github.com/buckthorndock/buckthorndock/internal/cli/caller"
)

// promptSource builds prompts cheaply: the body of every prompt is a slice of one
// text, and a unique head makes prompts differ from their first block on.
type promptSource struct {
	seed uint64
	mu   sync.Mutex
	body string            // grows to the longest prompt asked for
	head map[string]string // shared prefixes
}

// minBodyTokens is the length of the first body.
const minBodyTokens = 1 << 16

func newPromptSource(seed uint64) *promptSource {
	return &promptSource{seed: seed, head: map[string]string{}}
}

// prompt returns the text of an arrival.
func (p *promptSource) prompt(a *Arrival) string {
	want := a.PromptTokens * caller.BytesPerToken
	head := p.shared(a) + fmt.Sprintf("%016x ", a.Unique)
	if len(head) >= want {
		return head[len(head)-want:]
	}
	return head + p.text(a.PromptTokens)[:want-len(head)]
}

// shared returns the prefix that the arrival has in common with others.
func (p *promptSource) shared(a *Arrival) string {
	if a.Class.SharedPrefix == nil {
		return ""
	}
	key := fmt.Sprintf("%s %d", a.Class.Name, a.Variant)
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.head[key]; !ok {
		text := caller.Prompt(a.Class.SharedPrefix.Tokens, p.seed+uint64(a.Variant)+1)
		p.head[key] = key + " " + text
	}
	return p.head[key]
}

// text returns at least the given number of tokens of the body.
func (p *promptSource) text(tokens int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.body) < tokens*caller.BytesPerToken {
		p.body = caller.Prompt(max(tokens, 2*len(p.body)/caller.BytesPerToken, minBodyTokens), p.seed)
	}
	return p.body
}
