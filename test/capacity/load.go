package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

// bytesPerToken is the approximate length of a token of the prompts.
const bytesPerToken = 4

// client reuses connections, as a load balancer does.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// loadGenerator sends requests to one daemon at a constant rate without waiting for
// answers, each from a random customer.
type loadGenerator struct {
	address   string
	rate      float64
	keyed     float64 // share of requests that are service calls with an idempotency key
	customers int     // number of customers
	body      string  // of a completion request
}

// newLoadGenerator returns a generator for the daemon at an address.
func newLoadGenerator(o options, address string) *loadGenerator {
	prompt := strings.Repeat("milk, eggs, rye ", o.prompt*bytesPerToken/len("milk, eggs, rye ")+1)
	return &loadGenerator{
		address:   address,
		rate:      o.rate,
		keyed:     o.keyed,
		customers: o.customers,
		body:      fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, o.answer),
	}
}

// run sends requests until the context ends.
func (c *loadGenerator) run(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.rate))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			go c.send(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *loadGenerator) send(ctx context.Context) {
	path, body := "/v1/completions", c.body
	keyed := rand.Float64() < c.keyed
	if keyed {
		path, body = "/v1/services/s/confirm", `{"basket":"milk"}`
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+customerToken(rand.IntN(c.customers)))
	req.Header.Set("Content-Type", "application/json")
	if keyed {
		req.Header.Set("X-Repeatable", "false")
		req.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}
