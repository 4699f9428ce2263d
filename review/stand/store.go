package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRecord is one record of a keyed topic. A nil value removes the key.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's metadata store. It holds keyed topics with one partition and
// never fails.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{} // closed and replaced after each append
}

// startStore serves a store at a free loopback port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, topics: map[string][]storeRecord{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	go http.Serve(l, mux)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put appends a record and returns its offset.
func (s *store) put(topic, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	newest := map[string]int{}
	for i, rec := range records {
		newest[rec.key] = i
	}
	items := []item{}
	for key, i := range newest {
		if records[i].value != nil {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(records[i].value), i})
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("source"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from < len(records) {
			w.Write(encode(records, from))
			return
		}
		select {
		case <-changed:
		case <-end:
			w.Write(encode(records, len(records)))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns the answer to a read: the end offset, the first retained offset, and the records.
func encode(records []storeRecord, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	return out
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == topicOperator || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	offset, end := -1, 0
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		data = data[4:]
		if n > len(data) || n < 1 || 1+int(data[0]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rec := storeRecord{key: string(data[1 : 1+int(data[0])])}
		if n > 1+int(data[0]) {
			rec.value = append([]byte{}, data[1+int(data[0]):n]...)
		}
		end = s.put(topic, rec.key, rec.value)
		if offset < 0 {
			offset = end
		}
		data = data[n:]
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end_offset": end + 1})
}
