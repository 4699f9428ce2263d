package cli

import "testing"

func TestWithPolicyKeepsTheRest(t *testing.T) {
	cases := []struct{ document, want string }{
		{"", "routing:\n  policy: random\n"},
		{"limits:\n  requests_in_flight: 5\n", "limits:\n  requests_in_flight: 5\nrouting:\n  policy: random\n"},
		{"routing:\n  spill: dead\n  policy: length-aware\nrequests:\n  max_tokens: 9\n",
			"routing:\n  spill: dead\n  policy: random\nrequests:\n  max_tokens: 9\n"},
	}
	for _, c := range cases {
		got, err := withPolicy(c.document, "random")
		if err != nil || got != c.want {
			t.Errorf("got\n%s%v\nwant\n%s", got, err, c.want)
		}
	}
}
