package relay

import "bytes"

// weights follows the versions of the weights that write an answer. An event at which the version changes says so in
// its first line; the first event of a run at a server with other weights does not, since it is the first that
// this server sends.
type weights struct {
	run  string // version of the present run; empty if its server does not tell
	told string // the last version that the caller knows of
}

// begin starts a run.
func (w *weights) begin(a *Answer, firstHead bool) {
	w.run = a.Weights
	if firstHead {
		w.told = a.Weights
	}
}

// read takes in the version that an event tells, if it does.
func (w *weights) read(a *Answer, raw []byte) (tells bool) {
	value, tells := bytes.CutPrefix(raw, []byte(a.WeightsField+":"))
	if a.WeightsField == "" || !tells {
		return false
	}
	if end := bytes.IndexAny(value, lineEnds); end >= 0 {
		value = value[:end]
	}
	w.run = string(bytes.TrimSpace(value))
	return true
}

// mark returns an event as it is passed on: with a first line of its own if the version has changed without
// the caller's knowing.
func (w *weights) mark(a *Answer, raw []byte, tells bool) []byte {
	if w.run == "" {
		return raw
	}
	changed := w.told != "" && w.run != w.told
	w.told = w.run
	if !changed || tells {
		return raw
	}
	return append([]byte(a.WeightsField+": "+w.run+"\n"), raw...)
}
