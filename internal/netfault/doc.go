// Package netfault makes connections fail as a network does: they hang, are reset, or stay
// open while new ones are refused. Tests give a daemon its Links in place of the network.
package netfault
