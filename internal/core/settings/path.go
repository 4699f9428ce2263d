package settings

import "strings"

// Bounds of a path.
const (
	maxPathLength = 256 // bytes
	maxPathDepth  = 16  // segments
)

// Root is the path above all others.
const Root = "/"

// ValidPath reports whether a path is "/" or "/a/b" with segments of lower-case
// letters, digits, dots, underscores and dashes that start with a letter or a
// digit. Replay depends on it: it must stay the same in every version.
func ValidPath(path string) bool {
	if path == Root {
		return true
	}
	if len(path) > maxPathLength || !strings.HasPrefix(path, Root) {
		return false
	}
	segments := strings.Split(path[1:], "/")
	if len(segments) > maxPathDepth {
		return false
	}
	for _, s := range segments {
		if !validSegment(s) {
			return false
		}
	}
	return true
}

func validSegment(s string) bool {
	if s == "" || !isLowerAlnum(s[0]) {
		return false
	}
	for i := range len(s) {
		if !isLowerAlnum(s[i]) && !strings.ContainsRune("._-", rune(s[i])) {
			return false
		}
	}
	return true
}

func isLowerAlnum(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
}

// evacuations is the path above the documents of evacuations.
const evacuations = "/evacuations"

// EvacuationPath returns the path of the only document that may ask for the evacuation of a
// failure domain.
func EvacuationPath(domain string) string { return evacuations + "/" + domain }

// IsEvacuationPath reports whether a path is that of an evacuation.
func IsEvacuationPath(path string) bool { return path != evacuations && Contains(evacuations, path) }

// Contains reports whether path is ancestor or lies below it.
func Contains(ancestor, path string) bool {
	if ancestor == Root || ancestor == path {
		return true
	}
	return strings.HasPrefix(path, ancestor+"/")
}

// Lineage returns the path and its ancestors, the root first.
func Lineage(path string) []string {
	lineage := []string{Root}
	if path == Root {
		return lineage
	}
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			lineage = append(lineage, path[:i])
		}
	}
	return append(lineage, path)
}
