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

// Scripts wait for the one line that demo prints once it serves. It prints no other one, and a
// signal ends it with exit code 0.
func TestDemo(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		cmd := program(t, "demo", "--listen", "127.0.0.1:0")
		var errs bytes.Buffer
		cmd.Stderr = &errs
		pipe, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		out := bufio.NewReader(pipe)
		line, err := out.ReadString('\n')
		if err != nil || !regexp.MustCompile(`^ready http://127\.0\.0\.1:\d+/\n$`).MatchString(line) {
			t.Fatalf("%q %v %s", line, err, errs.String())
		}
		url := strings.TrimSpace(strings.TrimPrefix(line, "ready "))
		for _, v := range []string{"feed-a", "feed-b"} {
			req, _ := http.NewRequest("PUT", url+v+"/segment", strings.NewReader("data"))
			resp, err := http.DefaultClient.Do(req)
			if err != nil || resp.StatusCode != 201 {
				t.Fatalf("%v %v", resp, err)
			}
			resp.Body.Close()
		}
		cmd.Process.Signal(sig)
		rest, _ := io.ReadAll(out)
		if err := cmd.Wait(); err != nil || len(rest) > 0 {
			t.Errorf("%v: %v, more output %q, %s", sig, err, rest, errs.String())
		}
	}
}

// A newcomer runs the README's examples as they are printed.
func TestReadmeExamples(t *testing.T) {
	if _, err := exec.LookPath("curl"); err != nil {
		t.Skip("no curl here")
	}
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, block, found := strings.Cut(string(text), "```sh\n")
	block, _, closed := strings.Cut(block, "```")
	if !found || !closed || strings.Count(block, "curl") < 5 {
		t.Fatalf("no examples: %q", block)
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
		if out, err := sh.CombinedOutput(); err != nil {
			t.Errorf("%s: %v\n%s", example, err, out)
		}
	}
}
