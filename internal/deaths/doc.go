// Package deaths finds out whether an upstream whose answer broke off has died. Others are told of
// deaths, and hold the requests that ran there, so a partition must not be taken for one.
package deaths
