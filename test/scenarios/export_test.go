package scenarios

import (
	"fmt"

	"github.com/rogpeppe/go-internal/testscript"
)

// cacheEvents is an engine's answer with the events of its prefix cache.
type cacheEvents struct {
	Events []struct {
		Kind  string `json:"kind"`
		Block string `json:"block"`
	} `json:"events"`
}

type holder struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

type kvExport struct {
	ID     string   `json:"id"`
	Holder holder   `json:"holder"`
	Blocks []string `json:"prefix_blocks"`
}

// cmdExport has an engine export a block of its prefix cache on behalf of a
// daemon, and never imports it: export ENGINE ID HOST INCARNATION.
func cmdExport(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 4, "export ENGINE ID HOST INCARNATION")
	p := siteOf(ts).process(ts, args[0])
	x := kvExport{ID: args[1], Holder: holder{Host: args[2], Incarnation: args[3]}}
	waitFor(ts, "cached block of "+args[0], func() error {
		var c cacheEvents
		if err := get(p.address, "/v1/cache-events?from=1", &c); err != nil {
			return err
		}
		for _, e := range c.Events {
			if e.Kind == "stored" {
				x.Blocks = []string{e.Block}
				return nil
			}
		}
		return fmt.Errorf("no block is stored")
	})
	ts.Check(post(p.address, "/v1/kv/export", x))
}
