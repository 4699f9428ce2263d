package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// record is one record of a keyed topic; a nil value drops the key.
type record struct {
	key   string
	value []byte
}

// store is the platform's store: keyed topics with one partition each.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{} // closed and replaced on each append
}

func newStore() *store { return &store{topics: map[string][]record{}, changed: make(chan struct{})} }

func (s *store) append(topic string, r record) (offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "GET /api/log-newest":
		s.newest(w, topic)
	case "GET /api/log-read":
		s.read(w, r, topic)
	case "POST /api/log-append":
		s.write(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	all, last := s.topics[topic], map[string]int{}
	for i, r := range all {
		last[r.key] = i
	}
	items := []item{}
	for i, r := range all {
		if last[r.key] == i && r.value != nil {
			items = append(items, item{r.key, base64.StdEncoding.EncodeToString(r.value), i})
		}
	}
	end := len(all)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("source"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		all, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(all) > from || waitMs == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, x := range all[min(from, len(all)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(x.key)+len(x.value)))
				out = append(append(append(out, byte(len(x.key))), x.key...), x.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-limit:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, topic string) {
	data, _ := io.ReadAll(r.Body)
	first, end := -1, 0
	for len(data) >= 5 {
		n := int(binary.BigEndian.Uint32(data))
		body := data[4 : 4+n]
		key := string(body[1 : 1+int(body[0])])
		value := body[1+len(key):]
		if len(value) == 0 {
			value = nil
		}
		end = s.append(topic, record{key, value})
		if first < 0 {
			first = end
		}
		data = data[4+n:]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": max(first, 0), "end_offset": end + 1})
}
