package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"maddergap/internal/loopback"
	"maddergap/internal/nodelist"
)

// Flags of TestServeBesideMisbehavingPeers. The default is for CI; a full check, run by hand, is 200 seeds.
var (
	misbehavingSeed  = flag.Uint64("misbehaving.seed", 1, "first seed of TestServeBesideMisbehavingPeers")
	misbehavingSeeds = flag.Int("misbehaving.seeds", 8, "number of seeds that the test runs")
	misbehavingLogs  = flag.String("misbehaving.logs", "", "directory for the logs of failed runs")
)

// Numbers of clients that run at the same time.
const (
	wellBehavedClients = 6
	misbehavingClients = 4
)

// misbehavingConf is the format of the instance's configuration. Its argument is the address to listen on.
const misbehavingConf = `listen %s
nodes nodes.list
log-requests yes
class read effect safe aim 150ms deadline 2s worth 2 late 0.2
class write effect unsafe aim 300ms deadline 2s worth 2 late 0.2
plan standard rate 1000 reserve 1000
volume feed-a plan standard shards 0
volume feed-b plan standard shards 0,1
route GET,HEAD,PROPFIND class read
route * class write
units bytes 64k
body hold 16k rate 1m
stall-time 700ms
stop-time 1s
`

// stoppedLine holds the fields of the log line "stopped", which an instance writes when it ends.
type stoppedLine struct {
	Msg                string `json:"msg"`
	Received           int    `json:"received"`
	Served             int    `json:"served"`
	Rejected           int    `json:"rejected"`
	Failed             int    `json:"failed"`
	Disconnected       int    `json:"disconnected"`
	InvariantsViolated int    `json:"invariants_violated"`
}

// Guards against crashes, false invariant violations and lost responses on the WebDAV side, which no soak
// covers. Nodes and clients misbehave in many ways, and SIGTERM arrives under load. The instance must not
// panic or violate an invariant, each complete request of a client that stays connected gets a response,
// no write is executed twice, and the counts in the log add up.
func TestServeBesideMisbehavingPeers(t *testing.T) {
	for i := range *misbehavingSeeds {
		seed := *misbehavingSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runMisbehavingSeed(t, seed)
		})
	}
}

// runMisbehavingSeed starts an instance, its nodes and its clients, stops the instance under load, and
// checks the outcome.
func runMisbehavingSeed(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	nodes := startMisbehavingNodes(t, seed)
	addr := loopback.Addr(98, int(seed%250)+1, 18099)
	cmd, log := startInstanceOverNodes(t, addr, nodes)
	load := &clientLoad{addr: addr, seed: seed}
	load.start(wellBehavedClients, misbehavingClients)
	time.Sleep(time.Duration(700+random.IntN(800)) * time.Millisecond)
	sendSignals(random, cmd, load)
	err := waitForExit(cmd)
	load.mu.Lock()
	load.stopped = true
	load.mu.Unlock()
	load.running.Wait()
	if code := cmd.ProcessState.ExitCode(); code != 0 && code != 1 {
		t.Errorf("got exit code %d (%v), want 0 or 1", code, err)
	}
	checkMisbehavingLog(t, log.Bytes())
	for _, violation := range load.violations {
		t.Error(violation)
	}
	for _, node := range nodes {
		for path, count := range node.executions() {
			if count > 1 {
				t.Errorf("%s was executed %d times", path, count)
			}
		}
	}
	if load.responseCount < wellBehavedClients {
		t.Errorf("got %d responses, want at least as many as there are well-behaved clients", load.responseCount)
	}
	if t.Failed() && *misbehavingLogs != "" {
		os.WriteFile(filepath.Join(*misbehavingLogs, fmt.Sprint("seed-", seed, ".log")), log.Bytes(), 0o644)
	}
}

// startMisbehavingNodes starts two nodes and closes their listeners when the test ends.
func startMisbehavingNodes(t *testing.T, seed uint64) (nodes []*misbehavingNode) {
	t.Helper()
	for i := range uint64(2) {
		node, err := startMisbehavingNode(2*seed + i)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { node.listener.Close() })
		nodes = append(nodes, node)
	}
	return nodes
}

// startInstanceOverNodes starts an instance over the nodes and waits until it listens. The buffer collects
// the instance's output; it may be read when the instance has ended.
func startInstanceOverNodes(t *testing.T, addr string, nodes []*misbehavingNode) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	dir := t.TempDir()
	var list []nodelist.Node
	for i, node := range nodes {
		list = append(list, nodelist.Node{Name: fmt.Sprint("n", i), Addr: node.listener.Addr().String(), Shard: i})
	}
	conf := filepath.Join(dir, "m.conf")
	err := errors.Join(
		nodelist.Replace(filepath.Join(dir, "nodes.list"), list),
		os.WriteFile(conf, fmt.Appendf(nil, misbehavingConf, addr), 0o644))
	if err != nil {
		t.Fatal(err)
	}
	cmd := program(t, "serve", "--config", conf)
	log := &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	waitListening(t, addr)
	return cmd, log
}

// sendSignals sends SIGTERM one to three times within a second. In half of the runs it sends SIGHUP
// before, and in half of the runs after that.
func sendSignals(random *rand.Rand, cmd *exec.Cmd, load *clientLoad) {
	send := func(sig syscall.Signal) { cmd.Process.Signal(sig) }
	if random.IntN(2) == 0 {
		send(syscall.SIGHUP)
	}
	load.mu.Lock()
	load.signalledAt = time.Now()
	load.mu.Unlock()
	for i := range 1 + random.IntN(3) {
		if i > 0 {
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		}
		send(syscall.SIGTERM)
	}
	if random.IntN(2) == 0 {
		send(syscall.SIGHUP)
	}
}

// waitForExit waits for an instance that was told to stop. After 20 s it sends SIGQUIT, so that the
// instance writes its goroutine stacks to the log and exits.
func waitForExit(cmd *exec.Cmd) error {
	timer := time.AfterFunc(20*time.Second, func() { cmd.Process.Signal(syscall.SIGQUIT) })
	defer timer.Stop()
	return cmd.Wait()
}

// checkMisbehavingLog checks that the log of an ended instance shows no panic, data race or violated
// invariant, and that the counts in its last line add up.
func checkMisbehavingLog(t *testing.T, log []byte) {
	t.Helper()
	var stopped *stoppedLine
	lines := bufio.NewScanner(bytes.NewReader(log))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		text := lines.Text()
		if strings.Contains(text, `"msg":"invariant violated"`) || strings.HasPrefix(text, "panic:") || strings.HasPrefix(text, "fatal error:") || strings.Contains(text, "DATA RACE") {
			t.Error(text)
		}
		if line := new(stoppedLine); json.Unmarshal(lines.Bytes(), line) == nil && line.Msg == "stopped" {
			stopped = line
		}
	}
	switch {
	case stopped == nil:
		t.Errorf("the log has no line with the message \"stopped\"; its end:\n%.2000s", log[max(0, len(log)-2000):])
	case stopped.Received != stopped.Served+stopped.Rejected+stopped.Failed+stopped.Disconnected:
		t.Errorf("received is not the sum of served, rejected, failed and disconnected: %+v", *stopped)
	case stopped.InvariantsViolated != 0:
		t.Errorf("got violated invariants, want none: %+v", *stopped)
	}
}
