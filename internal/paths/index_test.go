package paths

import "testing"

// TestIndexFollowsItsList guards against the domain of an upstream that had the address before.
func TestIndexFollowsItsList(t *testing.T) {
	list := "first"
	made := 0
	x := NewAddressIndex(func() string { return list }, func(l string) map[string]string {
		made++
		return map[string]string{"address": l}
	})
	for _, want := range []string{"first", "first", "second"} {
		list = want
		if got := x.DomainOf("address"); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if made != 2 {
		t.Errorf("the index was made %d times", made)
	}
	if got := x.DomainOf("other"); got != "" {
		t.Errorf("an address that is not listed is in %q", got)
	}
}
