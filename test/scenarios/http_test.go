package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// httpClient has a timeout for each call of a process, which may be frozen.
var httpClient = &http.Client{Timeout: 2 * time.Second}

func post(address, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := httpClient.Post("http://"+address+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("POST %s: status %d", path, resp.StatusCode)
	}
	return nil
}

func get(address, path string, into any) error {
	text, err := getText(address, path, "")
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), into)
}

func getText(address, path, token string) (string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("GET %s: status %d", path, resp.StatusCode)
	}
	return b.String(), nil
}
