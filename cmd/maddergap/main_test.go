package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/flood"
	"maddergap/internal/loopback"
	"maddergap/internal/nodelist"
	"maddergap/internal/scenario"
)

// asProgram makes the test binary be the program, so that processes can be tested.
const asProgram = "MADDERGAP_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) == "1" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func program(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	return cmd
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return file
	}
	good := fmt.Sprintf(demoConf, "127.0.0.1:0", 1, 1)
	write("nodes.list", "node n0 127.0.0.1:1 shard 0 state serving\nnode n1 127.0.0.1:2 shard 1 state serving\n")
	fine := write("fine.conf", good)
	bad := write("bad.conf", strings.Replace(good, "effect unsafe", "effect wild", 1))
	thin := write("thin.conf", strings.Replace(good, "shards 0-1", "shards 0-2", 1))
	for _, c := range []struct {
		args string
		code int
		out  string
		err  string
	}{
		{"version", 0, "maddergap ", ""},
		{"--help", 0, "Usage: maddergap", ""},
		{"check --config " + fine, 0, "good; 2 volumes, 3 classes", ""},
		{"check --config " + bad, 1, "", "bad.conf:6: class: effect is \"wild\""},
		{"check --config " + thin, 1, "", "no node has shard 2 of volume feed-a"},
		{"check --config " + filepath.Join(dir, "none"), 1, "", "no such file"},
		{"check", 2, "", "missing flags"},
		{"frobnicate", 2, "", "unexpected argument frobnicate"},
		{"demo --nodes 0", 2, "", "want 1 to 100"},
		{"demo --listen nowhere", 2, "", "is not an address and port"},
		{"badday --length 1ms", 2, "", "out of range"},
		{"badday --story --seed 4", 0, "head 1: killed at", ""},
		{"serve --config " + bad, 1, "", "effect is \"wild\""},
	} {
		var out, errs bytes.Buffer
		if code := run(strings.Fields(c.args), &out, &errs); code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.err) {
			t.Errorf("%s: code %d, out %.200q, err %.300q", c.args, code, out.String(), errs.String())
		}
	}
}

// The demo prints exactly one line once it serves, and stops cleanly.
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

// A head killed with requests under way comes back knowing nothing, serves, and
// has sent nothing twice.
// serving starts a head and waits until it listens.
func serving(t *testing.T, addr, conf string) *exec.Cmd {
	t.Helper()
	cmd := program(t, "serve", "--config", conf)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			return cmd
		}
		if time.Now().After(until) {
			t.Fatal("it does not listen")
		}
	}
}

// A head is killed in the middle of a flood from 500 addresses and comes back knowing
// nothing: listed clients are served from its first second on, and no effect of
// theirs comes twice.
func TestKilledInFlood(t *testing.T) {
	dir := t.TempDir()
	node, err := fakenode.Start(fakenode.Options{Listen: "127.0.0.1:0", Name: "n0", Cores: 8, Queue: 64, UnitTime: 5 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	nodelist.Replace(filepath.Join(dir, "nodes.list"), []nodelist.Node{{Name: "n0", Addr: node.Addr()}})
	addr := loopback.Addr(99, 3, 18099)
	conf := filepath.Join(dir, "m.conf")
	text := strings.Replace(fmt.Sprintf(demoConf, addr, 0, 0), "clients 512", "clients 200", 1)
	os.WriteFile(conf, []byte(text+"admit address 8 reserve 50 answers 20 answers-burst 20\nknown 127.9.0.0/16\n"), 0o644)
	cmd := serving(t, addr, conf)
	o := flood.Options{Target: addr, Path: "/", Pattern: "hold", Tries: 200_000, AtOnce: 300, Length: 6 * time.Second}
	for i := range 500 {
		o.Sources = append(o.Sources, netip.AddrFrom4([4]byte{127, 20, byte(i / 250), byte(i%250 + 1)}))
	}
	over := make(chan *flood.Result, 1)
	go func() {
		r, err := flood.Run(o)
		if err != nil {
			t.Error(err)
		}
		over <- r
	}()
	put := func(n int) (status int) {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 9, 0, byte(n+1))}, Timeout: 5 * time.Second}
		c, err := d.Dial("tcp", addr)
		if err != nil {
			return 0
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(c, "PUT /feed-a/known%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", n)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	time.Sleep(time.Second)
	if status := put(0); status != 201 {
		t.Errorf("before the kill: %d", status)
	}
	cmd.Process.Kill()
	cmd.Wait()
	cmd = serving(t, addr, conf)
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	for n := range 20 {
		if status := put(n + 1); status != 201 {
			t.Errorf("known client %d after it: %d", n, status)
		}
	}
	r := <-over
	if r.Flood.Refused+r.Flood.Closed < 1000 {
		t.Errorf("hardly a flood: %+v", r.Flood)
	}
	ran := map[string]int{}
	for _, e := range node.Entries() {
		if ran[e.Path]++; ran[e.Path] > 1 {
			t.Errorf("%s came twice", e.Path)
		}
	}
	if len(ran) != 21 {
		t.Errorf("%d effects at the node, want 21", len(ran))
	}
}

func TestKilledAndBack(t *testing.T) {
	dir := t.TempDir()
	node, err := fakenode.Start(fakenode.Options{Listen: "127.0.0.1:0", Name: "n0", Cores: 2, Queue: 64, UnitTime: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	nodelist.Replace(filepath.Join(dir, "nodes.list"), []nodelist.Node{{Name: "n0", Addr: node.Addr()}})
	addr := loopback.Addr(99, 1, 18099)
	conf := filepath.Join(dir, "m.conf")
	os.WriteFile(conf, []byte(fmt.Sprintf(demoConf, addr, 0, 0)), 0o644)
	start := func() *exec.Cmd { return serving(t, addr, conf) }
	cmd := start()
	for i := range 6 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "PUT /feed-a/%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", i)
	}
	time.Sleep(30 * time.Millisecond)
	cmd.Process.Kill()
	cmd.Wait()
	cmd = start()
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	req, _ := http.NewRequest("PUT", "http://"+addr+"/feed-a/after", strings.NewReader("y"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != 201 {
		t.Fatalf("after the restart: %v %v", resp, err)
	}
	resp.Body.Close()
	ran := map[string]int{}
	for _, e := range node.Entries() {
		if ran[e.Path]++; ran[e.Path] > 1 {
			t.Errorf("%s came twice", e.Path)
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
}

// The short bad day, by processes, every head under a flood of connections.
func TestBadDay(t *testing.T) {
	if testing.Short() {
		t.Skip("half a minute")
	}
	os.Setenv(asProgram, "1")
	defer os.Unsetenv(asProgram)
	size := scenario.Short
	size.Rate = 150 // what two cores bear beside other tests
	report, err := scenario.Run(&scenario.Options{Plan: scenario.Draw(1, size), Dir: t.TempDir(), Exe: []string{os.Args[0]}, Late: time.Second, Flood: true})
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	report.Write(&text)
	if !report.Good() {
		t.Errorf("%s", text.String())
	}
	if share := report.Earned / report.Due; share < 0.5 || report.Served < 1000 {
		t.Errorf("hardly a day:\n%s", text.String())
	}
	t.Log("\n" + text.String())
}

// The README's examples work as printed.
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
