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
// digit. Replay depends on this rule: it must be the same in all versions of the program.
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

// evacuationsPath is the parent path of the documents that evacuate failure domains.
const evacuationsPath = "/evacuations"

// EvacuationPath returns the path of the document that can evacuate a failure domain; no other
// document can.
func EvacuationPath(domain string) string { return evacuationsPath + "/" + domain }

// IsEvacuationPath reports whether path is below the parent path of evacuations.
func IsEvacuationPath(path string) bool {
	return path != evacuationsPath && Contains(evacuationsPath, path)
}

// Contains reports whether path equals ancestor or is below it.
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
