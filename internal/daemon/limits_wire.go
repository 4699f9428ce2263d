package daemon

import (
	"bytes"
	"encoding/gob"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/admission"
)

// A digest of the demand is sent as one list of numbers, since gob describes a
// struct in each message and each of its elements costs more than the numbers in
// it: the number of hosts, then the steps from node to node, the requests and the
// tokens of all nodes. Host and domain are those of the section.

// usageColumns is the number of columns of a node.
const usageColumns = 3

var errInvalidUsage = merry.New("usage is not a list of whole columns")

func encodeUsage(u admission.Usage) ([]byte, error) {
	n := len(u.Nodes)
	nums := make([]uint32, 1+usageColumns*n)
	nums[0] = uint32(u.Hosts)
	steps, requests, tokens := columns(nums[1:])
	last := uint32(0)
	for i, node := range u.Nodes {
		steps[i] = node.Node - last
		last = node.Node
		requests[i] = node.Requests
		tokens[i] = node.Tokens
	}
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(nums)
	return b.Bytes(), merry.Prepend(err, "encode usage")
}

func columns(nums []uint32) (steps, requests, tokens []uint32) {
	n := len(nums) / usageColumns
	return nums[:n], nums[n : 2*n], nums[2*n:]
}

// decodeUsage leaves host and domain to the caller.
func decodeUsage(data []byte) (admission.Usage, error) {
	var nums []uint32
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&nums); err != nil {
		return admission.Usage{}, merry.Prepend(err, "decode usage")
	}
	if len(nums)%usageColumns != 1 {
		return admission.Usage{}, errInvalidUsage
	}
	u := admission.Usage{Hosts: int(nums[0])}
	steps, requests, tokens := columns(nums[1:])
	last := uint32(0)
	for i, step := range steps {
		last += step
		u.Nodes = append(u.Nodes, admission.NodeUsage{Node: last, Requests: requests[i], Tokens: tokens[i]})
	}
	return u, nil
}
