// Package bench sends a mix of requests to a site and reports outcomes and latencies.
//
// The load is an open loop: arrivals are determined by the mix and a seed, and do not
// wait for answers. Every answer is checked against its own prompt. A comparison
// repeats the same load under each placement policy, once with all requests and once
// with the short ones alone.
package bench
