package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runAsDaemonEnv is the environment variable that makes this test binary run the
// daemon.
const runAsDaemonEnv = "TEST_AS_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemonEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// daemonFile returns a daemon file with addresses of one loopback host that no other
// test uses. No store answers there.
func daemonFile() string {
	const networks = 250
	ip := fmt.Sprintf("127.%d.251.1", 1+os.Getpid()%networks)
	return strings.ReplaceAll(`host: h1
domain: z1
region: r1
listen: {callers: "IP:8001", ready: "IP:8002", peers: "IP:8003", metrics: "IP:8004"}
peer_key: "0123456789012345678901234567890123456789"
store: "IP:8005"
log_level: info
grace_s: 4
`, "IP", ip)
}

// startDaemon starts the daemon with a file. out is its output, to be read when it has ended.
func startDaemon(t *testing.T, file string) (cmd *exec.Cmd, out *bytes.Buffer) {
	t.Helper()
	cmd, out = exec.Command(os.Args[0], "edge", "--config", file), &bytes.Buffer{}
	cmd.Env = append(os.Environ(), runAsDaemonEnv+"=1")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, out
}

// TestSignalsDuringTheStartDoNotKill makes the daemon block on reading its file, a
// named pipe, and signals it meanwhile.
func TestSignalsDuringTheStartDoNotKill(t *testing.T) {
	file := filepath.Join(t.TempDir(), "daemon.yaml")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, out := startDaemon(t, file)
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // waits for the daemon to read
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	plain := filepath.Join(t.TempDir(), "plain.yaml") // for the reload, in place of the pipe
	if err := errors.Join(os.WriteFile(plain, []byte(daemonFile()), 0o600), os.Rename(plain, file)); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.WriteString(daemonFile()); err != nil {
		t.Error(err)
	}
	pipe.Close()
	if err := cmd.Wait(); err != nil || !strings.Contains(out.String(), "msg=stopped") {
		t.Errorf("the daemon ended with %v:\n%s", err, out.String())
	}
}

// silentListener accepts connections and answers nothing.
func silentListener(t *testing.T, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
}

// askStatus sends a request to a daemon and returns the status of the answer.
func askStatus(address string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Request-Id", "r1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	return res.StatusCode, nil
}

// TestSignalsBeforeTheFirstSettings guards against a daemon that hangs, dies or leaves a caller without
// an answer when SIGTERM comes, with SIGHUP beside it and once more, while the store is silent and no
// settings have come yet.
func TestSignalsBeforeTheFirstSettings(t *testing.T) {
	text := strings.ReplaceAll(daemonFile(), ".251.", ".252.")
	ip := strings.Split(strings.Split(text, `callers: "`)[1], ":")[0]
	silentListener(t, ip+":8005")
	file := filepath.Join(t.TempDir(), "daemon.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, out := startDaemon(t, file)
	status, err := askStatus(ip + ":8001")
	for err != nil { // until it listens; the test's timeout bounds it
		status, err = askStatus(ip + ":8001")
	}
	if status != http.StatusServiceUnavailable {
		t.Errorf("before the signal: %d", status)
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if status, err := askStatus(ip + ":8001"); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("while it leaves: %d, %v", status, err)
	}
	if err := cmd.Wait(); err != nil || !strings.Contains(out.String(), "msg=stopped") {
		t.Errorf("the daemon ended with %v:\n%s", err, out.String())
	}
}
