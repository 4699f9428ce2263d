package membership

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"testing"
)

// FuzzMessages passes messages decoded from arbitrary bytes to a host. A message
// may be refused, but it must neither crash the host nor change its own record.
func FuzzMessages(f *testing.F) {
	from := testIdentity("b", "a", 1)
	foreign := testIdentity("c", "b", 1)
	own := testIdentity("a", "a", 9)
	for _, v := range []any{
		&Request{From: from, Other: "b", Have: Digest{Keys: []uint64{1, from.key()}, Versions: []uint64{1, 2}}},
		&Request{From: foreign, Have: Digest{Keys: []uint64{1}}},
		&Response{From: from, Want: Digest{Keys: []uint64{own.key()}, Versions: []uint64{0}}, Domains: []string{"x", ""}},
		&Response{From: foreign, Hints: []Hint{{Domain: "a", Address: "z:1"}, {}, {}, {}}},
		&Push{From: from, News: Delta{Keys: []uint64{from.key()}, Versions: []uint64{7}, Ages: []uint32{1 << 31}}},
		&Push{From: from, News: Delta{Records: []Record{
			{ID: &own, Version: 1 << 63, LeaveVersion: 1},
			{ID: &foreign, Key: from.key(), Sections: []Section{{Name: "s", Version: 1, Data: []byte("d")}}},
		}}},
	} {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(v); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New(Config{Self: testIdentity("a", "a", 5)}, epoch)
		var req Request
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&req) == nil {
			_, _ = m.HandleRequest(epoch, &req, rand.New(rand.NewPCG(1, 1)))
		}
		var resp Response
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&resp) == nil {
			_, _ = m.HandleResponse(epoch, &resp)
		}
		var push Push
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&push) == nil {
			_ = m.HandlePush(epoch, &push)
		}
		for _, v := range m.View(epoch) {
			if v.Host == "a" && (v.Identity != testIdentity("a", "a", 5) || v.State != Live || v.Version != 1<<heartbeatShift) {
				t.Errorf("the host's own record became %+v", v)
			}
			if v.Host == "" {
				t.Error("a member without a name")
			}
		}
	})
}
