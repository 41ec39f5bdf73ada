package main

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
)

// Verifies that demo prints exactly one line, which scripts wait for, that it serves from then on, and
// that SIGTERM or SIGINT ends it with exit code 0.
func TestDemo(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		cmd := program(t, "demo", "--listen", "127.0.0.1:0")
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		pipe, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		stdout := bufio.NewReader(pipe)
		line, err := stdout.ReadString('\n')
		if err != nil || !regexp.MustCompile(`^ready http://127\.0\.0\.1:\d+/\n$`).MatchString(line) {
			t.Fatalf("got first line %q, error %v, want the ready line; standard error:\n%s", line, err, stderr.String())
		}
		url := strings.TrimSpace(strings.TrimPrefix(line, "ready "))
		for _, volume := range []string{"feed-a", "feed-b"} {
			req, _ := http.NewRequest("PUT", url+volume+"/segment", strings.NewReader("data"))
			resp, err := http.DefaultClient.Do(req)
			if err != nil || resp.StatusCode != 201 {
				t.Fatalf("PUT: got response %v, error %v, want status 201", resp, err)
			}
			resp.Body.Close()
		}
		cmd.Process.Signal(sig)
		furtherOutput, _ := io.ReadAll(stdout)
		if err := cmd.Wait(); err != nil || len(furtherOutput) > 0 {
			t.Errorf("after signal %v: got error %v, further output %q, want neither; standard error:\n%s", sig, err, furtherOutput, stderr.String())
		}
	}
}

// Verifies that the README's examples work as they are printed, apart from the port of the demo.
func TestReadmeExamples(t *testing.T) {
	if _, err := exec.LookPath("curl"); err != nil {
		t.Skip("curl is not installed")
	}
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, block, found := strings.Cut(string(text), "```sh\n")
	block, _, closed := strings.Cut(block, "```")
	if !found || !closed || strings.Count(block, "curl") < 5 {
		t.Fatalf("got first sh block %q, want at least 5 examples with curl", block)
	}
	cmd := program(t, "demo", "--listen", "127.0.0.1:0")
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	line, _ := bufio.NewReader(pipe).ReadString('\n')
	addr := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "ready http://"), "/")
	for _, example := range strings.Split(strings.TrimSpace(block), "\n") {
		sh := exec.Command("sh", "-c", strings.ReplaceAll(example, "127.0.0.1:8080", addr))
		sh.Dir = "../.."
		if output, err := sh.CombinedOutput(); err != nil {
			t.Errorf("%s: %v\n%s", example, err, output)
		}
	}
}
