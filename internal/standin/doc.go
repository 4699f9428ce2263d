// Package standin holds small stand-ins for model engines, plain services and the
// platform's services, for tests and demos only. Each is an http.Handler with
// switchable faults (POST /standin/fault) and a witness, the record of its runs
// (GET /standin/witness). They are deliberately strict on their callers: an engine
// frees memory only on request, its reports can lag, and nothing expires.
package standin
