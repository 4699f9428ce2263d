package placement

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlocks returns one hash for each whole leading block of blockBytes bytes,
// at most max of them. Each hash covers the text from its start to the end of the
// block, so equal hashes mean equal prefixes. No more than max*blockBytes bytes
// are read, however long the text is.
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
		// The digest runs on, which chains each block to those before it. A
		// write to it never fails.
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

// HexBlocks returns the form of the hashes on the wire: 16 lower-case hex digits
// each.
func HexBlocks(blocks []uint64) []string {
	out := make([]string, len(blocks))
	for i, b := range blocks {
		out[i] = HexBlock(b)
	}
	return out
}

// HexBlock returns the form of one hash on the wire.
func HexBlock(block uint64) string {
	const zeros = "0000000000000000"
	s := strconv.FormatUint(block, hexBase)
	return zeros[len(s):] + s
}

// ParseHexBlock reads the form on the wire; ok is false for anything else.
func ParseHexBlock(s string) (block uint64, ok bool) {
	if len(s) != hexChars {
		return 0, false
	}
	block, err := strconv.ParseUint(s, hexBase, hashBits)
	return block, err == nil
}
