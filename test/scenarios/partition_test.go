package scenarios

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/buckthorndock/buckthorndock/internal/netfault"
)

// TestPartitionedHostsServeThroughOthers guards against hosts that refuse their callers because
// they reach no upstream themselves, though other hosts do, and that tell other hosts that these
// upstreams are dead. It plays each scenario with each way in which paths fail.
func TestPartitionedHostsServeThroughOthers(t *testing.T) {
	if err := walkSources(); err != nil {
		t.Fatal(err)
	}
	for _, fault := range []netfault.Fault{netfault.Hang, netfault.Reset, netfault.Refuse} {
		t.Run(string(fault), func(t *testing.T) {
			testscript.Run(t, testscript.Params{
				Dir:                 "partition",
				RequireExplicitExec: true,
				Cmds:                commands(),
				Setup: func(env *testscript.Env) error {
					env.Setenv("fault", string(fault))
					return setupSite(env)
				},
			})
		})
	}
}
