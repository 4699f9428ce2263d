package platform

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// oddHosts are entries that another writer may have left in the list of hosts.
func oddHosts() map[string]string {
	const deep, long = 100_000, 262_144
	entry := func(field, value string) string {
		fields := map[string]string{"name": `"x"`, "kind": `"entry"`, "domain": `"d"`, "region": `"r"`, "address": `"127.0.0.1:2"`, "state": `"live"`}
		fields[field] = value
		var list []string
		for name, v := range fields {
			list = append(list, fmt.Sprintf("%q:%s", name, v))
		}
		return "{" + strings.Join(list, ",") + "}"
	}
	nested := strings.Repeat("[", deep) + strings.Repeat("]", deep)
	return map[string]string{
		"nested":           nested,
		"nested objects":   strings.Repeat(`{"a":`, deep) + "1" + strings.Repeat("}", deep),
		"nested in a name": entry("name", nested),
		"a number":         "7", "too large a number": "1e400", "a large name": entry("name", "1e400"), "null": "null", "a text": `"x"`,
		"an unknown kind": entry("kind", `"other"`), "an unknown state": entry("state", `7`), "a long number": entry("domain", strings.Repeat("9", long)),
	}
}

// TestOddHostDoesNotHideTheOthers guards against a list of hosts that is not followed any more because of one odd
// entry.
func TestOddHostDoesNotHideTheOthers(t *testing.T) {
	const sound = `{"name":"h1","kind":"entry","domain":"d","region":"r","address":"127.0.0.1:1","state":"live"}`
	for name, odd := range oddHosts() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"hosts":[`+odd+","+sound+`]}`)
		}))
		client, err := NewHTTP(strings.TrimPrefix(server.URL, "http://"), server.Client())
		if err != nil {
			t.Fatal(err)
		}
		hosts, err := client.List(t.Context())
		if err != nil || len(hosts) != 1 || hosts[0].Name != "h1" {
			t.Errorf("%s: got %+v, %v", name, hosts, err)
		}
		server.Close()
	}
}
