package suspects

import "github.com/buckthorndock/buckthorndock/internal/core/quarantine"

// workOf returns a work whose prompt has no parts.
func workOf(fingerprint uint64) quarantine.Work { return quarantine.Work{Fingerprint: fingerprint} }
