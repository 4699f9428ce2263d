package placement

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlocks returns one hash for each complete leading block of blockBytes bytes,
// at most max of them. Each hash covers the text from its start to the end of the
// block, so equal hashes mean equal prefixes. At most max*blockBytes bytes of the
// text are read.
func PrefixBlocks(text string, blockBytes, max int) []uint64 {
	if blockBytes <= 0 || max <= 0 {
		return nil
	}
	n := min(len(text)/blockBytes, max)
	if n == 0 {
		return nil
	}
	blocks := make([]uint64, n)
	digest := xxhash.New()
	for i := range blocks {
		// The digest is not reset, so each hash also covers the blocks before it.
		// A write to it never fails.
		_, _ = digest.WriteString(text[i*blockBytes : (i+1)*blockBytes])
		blocks[i] = digest.Sum64()
	}
	return blocks
}

const (
	hexBase  = 16
	hashBits = 64
	hexChars = hashBits / 4
)

// HexBlocks returns the wire form of the hashes: 16 lower-case hex digits each.
func HexBlocks(blocks []uint64) []string {
	out := make([]string, len(blocks))
	for i, b := range blocks {
		out[i] = HexBlock(b)
	}
	return out
}

// HexBlock returns the wire form of one hash.
func HexBlock(block uint64) string {
	const zeros = "0000000000000000"
	s := strconv.FormatUint(block, hexBase)
	return zeros[len(s):] + s
}

// ParseHexBlock parses the wire form of a hash; ok is false for any other text.
func ParseHexBlock(s string) (block uint64, ok bool) {
	if len(s) != hexChars {
		return 0, false
	}
	block, err := strconv.ParseUint(s, hexBase, hashBits)
	return block, err == nil
}
