package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

const configPage = "../../../docs/CONFIG-settings.md"

// schemaKeys adds the keys of a type to keys, in the notation of the page, with the kinds of
// their values.
func schemaKeys(prefix string, t reflect.Type, keys map[string]reflect.Kind) {
	switch {
	case t.Kind() == reflect.Pointer:
		schemaKeys(prefix, t.Elem(), keys)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		schemaKeys(prefix+"[]", t.Elem(), keys)
	case t.Kind() == reflect.Struct:
		for name, i := range fieldsByKey(t) {
			schemaKeys(joinKey(prefix, name), t.Field(i).Type, keys)
		}
	default:
		keys[prefix] = t.Kind()
	}
}

// codeDefaults returns the defaults in the code, formatted as on the page.
func codeDefaults() map[string]string {
	defaults := map[string]string{
		"customers[].weight":       fmt.Sprint(DefaultWeight),
		"pools[].longest_order_ms": fmt.Sprint(DefaultMaxOrderMs),
		"models[].bytes_per_token": fmt.Sprint(DefaultBytesPerToken),
	}
	for prefix, inherited := range map[string]any{
		"routing": defaultRouting(), "requests": defaultRequests(),
	} {
		v := reflect.ValueOf(inherited)
		for name, i := range fieldsByKey(v.Type()) {
			defaults[prefix+"."+name] = fmt.Sprint(v.Field(i).Interface())
		}
	}
	return defaults
}

var configRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\|$")

func TestConfigPageMatchesTheSchema(t *testing.T) {
	page, err := os.ReadFile(configPage)
	if err != nil {
		t.Fatal(err)
	}
	keys := map[string]reflect.Kind{}
	schemaKeys("", reflect.TypeFor[Document](), keys)
	defaults := codeDefaults()
	for _, row := range configRow.FindAllStringSubmatch(string(page), -1) {
		key, unit, stated := row[1], strings.TrimSpace(row[2]), strings.TrimSpace(row[3])
		kind, known := keys[key]
		if !known {
			t.Errorf("%s is on the page twice or not in the schema", key)
			continue
		}
		delete(keys, key)
		if unit == "" {
			t.Errorf("%s has no unit", key)
		}
		want := defaults[key]
		switch {
		case want != "":
		case kind == reflect.Bool:
			want = "false"
		case strings.Contains(key, "limits."):
			want = "no limit"
		case isRequired(key):
			want = "required"
		default:
			want = "none"
		}
		if stated != want {
			t.Errorf("%s: page says default %q, code has %q", key, stated, want)
		}
	}
	for key := range keys {
		t.Errorf("%s is not on the page", key)
	}
}

// isRequired reports whether the parser refuses a document that has the parents of the key but
// not the key itself.
func isRequired(key string) bool {
	parents := strings.Split(key, ".")
	var text strings.Builder
	for _, p := range parents[:len(parents)-1] {
		open := " {"
		if strings.HasSuffix(p, "[]") {
			open = " [{"
		}
		text.WriteString(strings.TrimSuffix(p, "[]") + ":" + open)
	}
	for i := len(parents) - 2; i >= 0; i-- {
		text.WriteString(map[bool]string{true: "}]", false: "}"}[strings.HasSuffix(parents[i], "[]")])
	}
	_, findings := ParseDocument("/", []byte(text.String()))
	for _, f := range findings {
		if strings.ReplaceAll(f.Place.Key, "[0]", "[]") == key && f.Message == "is missing" {
			return true
		}
	}
	return false
}

// TestConfigPageExample checks that the example on the page parses and compiles without findings.
func TestConfigPageExample(t *testing.T) {
	page, err := os.ReadFile(configPage)
	if err != nil {
		t.Fatal(err)
	}
	_, example, _ := strings.Cut(string(page), "```yaml\n")
	example, _, found := strings.Cut(example, "```")
	if !found {
		t.Fatal("no example on the page")
	}
	doc := mustParse(t, "/frigolijst", example)
	if s, findings := Compile([]Source{{Path: "/frigolijst", Version: 1, Document: doc}}); len(findings) > 0 || len(s.Upstreams()) != 2 {
		t.Errorf("findings %v", findings)
	}
}
