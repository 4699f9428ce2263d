// Package standin holds small stand-ins of model engines, plain services and the
// platform's services, for tests and demos only. Each is an http.Handler with
// switchable faults (POST /standin/fault) and a witness of what it ran
// (GET /standin/witness). They behave hard on purpose: an engine frees memory
// only when it is told to, reports lag, and nothing expires.
package standin
