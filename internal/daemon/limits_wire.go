package daemon

import (
	"bytes"
	"encoding/gob"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/admission"
)

// A demand digest is sent as one list of numbers, since gob describes a struct in
// each message and spends more bytes on an element than on the numbers in it. The
// list holds the number of hosts, then the differences between successive node IDs,
// the requests and the tokens of all nodes. Host and domain are those of the section.

// usageColumns is the number of columns, each with one number per node.
const usageColumns = 3

var errInvalidUsage = merry.New("usage digest does not consist of whole columns")

// encodeUsage encodes a digest without its host and domain.
func encodeUsage(u admission.Usage) ([]byte, error) {
	n := len(u.Nodes)
	nums := make([]uint32, 1+usageColumns*n)
	nums[0] = uint32(u.Hosts)
	deltas, requests, tokens := columns(nums[1:])
	last := uint32(0)
	for i, node := range u.Nodes {
		deltas[i] = node.Node - last
		last = node.Node
		requests[i] = node.Requests
		tokens[i] = node.Tokens
	}
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(nums)
	return b.Bytes(), merry.Prepend(err, "encode usage")
}

// columns splits the numbers after the first into their columns.
func columns(nums []uint32) (deltas, requests, tokens []uint32) {
	n := len(nums) / usageColumns
	return nums[:n], nums[n : 2*n], nums[2*n:]
}

// decodeUsage decodes a digest. The caller sets its host and domain.
func decodeUsage(data []byte) (admission.Usage, error) {
	var nums []uint32
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&nums); err != nil {
		return admission.Usage{}, merry.Prepend(err, "decode usage")
	}
	if len(nums)%usageColumns != 1 {
		return admission.Usage{}, errInvalidUsage
	}
	u := admission.Usage{Hosts: int(nums[0])}
	deltas, requests, tokens := columns(nums[1:])
	last := uint32(0)
	for i, delta := range deltas {
		last += delta
		u.Nodes = append(u.Nodes, admission.NodeUsage{Node: last, Requests: requests[i], Tokens: tokens[i]})
	}
	return u, nil
}
