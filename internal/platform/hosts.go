package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/tidwall/gjson"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
)

// hostsPath is the path of the list of hosts.
const hostsPath = "/v1/hosts"

var hostEntriesDropped = metrics.GetOrCreateCounter(`buckthorndock_host_entries_dropped_total`)

// hostFilter is an http.Client that drops invalid entries from lists of hosts: one that another program
// has left must not hide all others.
type hostFilter struct{ *http.Client }

// Do sends a request.
func (f hostFilter) Do(req *http.Request) (*http.Response, error) {
	res, err := f.Client.Do(req)
	if err != nil || res.StatusCode != http.StatusOK || req.URL.Path != hostsPath {
		return res, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	body = validHosts(body)
	res.Body, res.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return res, nil
}

// validHosts returns a list of hosts without its invalid entries. What is no such list is returned as it is.
func validHosts(list []byte) []byte {
	entries := gjson.GetBytes(list, "hosts")
	if !entries.IsArray() {
		return list
	}
	valid := struct {
		Hosts []json.RawMessage `json:"hosts"`
	}{Hosts: []json.RawMessage{}}
	entries.ForEach(func(_, entry gjson.Result) bool {
		var host platformapi.HostEntry
		if host.UnmarshalJSON([]byte(entry.Raw)) != nil || host.Validate() != nil {
			hostEntriesDropped.Inc()
			return true
		}
		valid.Hosts = append(valid.Hosts, json.RawMessage(entry.Raw))
		return true
	})
	text, err := json.Marshal(valid)
	if err != nil {
		return list
	}
	return text
}
