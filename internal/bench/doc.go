// Package bench loads a site with a mix of requests and reports what came back.
//
// The load is an open loop: arrivals follow from the mix and a seed, and do not
// wait for answers. Every answer is checked against its own prompt. A comparison
// repeats the same load under each placement policy, once whole and once with
// its short requests alone.
package bench
