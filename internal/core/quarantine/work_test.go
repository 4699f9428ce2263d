package quarantine

// workOf returns a work whose prompt has no parts.
func workOf(fingerprint uint64) Work { return Work{Fingerprint: fingerprint} }
