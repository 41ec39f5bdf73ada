package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Deadlines of the classes, from the settings of kandy-main.
const (
	readDeadline   = 1200 * time.Millisecond
	writeDeadline  = 2000 * time.Millisecond
	exportDeadline = 2500 * time.Millisecond
)

// headLimits are the limits that the platform states to a head.
type headLimits struct {
	memoryMB, sockets int
}

// head is a head in service, started by the deploy file's command "run".
type head struct {
	*process
	addr string
}

// configText returns the configuration of a head. The settings are those of kandy-main, for one head.
func configText(listen, discovery string, limits headLimits) ([]byte, error) {
	class := func(name, effect string, target, deadline time.Duration, gain, late float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "window": 5000000, "stream": false,
			"target": target.Microseconds(), "deadline": deadline.Microseconds(), "gain": gain, "lateWorth": late}
	}
	return json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": limits.memoryMB, "sockets": limits.sockets},
		"settings": map[string]any{
			"fleetSize": 1, "selfIndex": 0, "family": "stores", "discovery": "push", "weights": "nominal",
			"zones": []string{"hall-a"}, "zone": 0, "kinds": []string{"single-fast"}, "tick": 2000,
			"classes": []any{
				class("trace-read", "retryable", 150*time.Millisecond, readDeadline, 2, 0.15),
				class("segment-write", "fragile", 300*time.Millisecond, writeDeadline, 2, 0.1),
				class("archive-export", "retryable", 750*time.Millisecond, exportDeadline, 1, 0.25),
			},
			"grades": []any{map[string]any{"name": "priority", "nominal": 60, "guaranteed": 60, "shares": 2,
				"valueFactor": 1, "ceilingRate": 0, "limitBurst": 0, "limitSlack": 0}},
			"familyInfo": map[string]any{"unitsTop": 6, "usualUnits": 2.12, "coldUnits": 25, "fairWorth": 0.35,
				"beyondShare": 0.1, "nShards": 4, "writes": []bool{false, true, false}},
			"guarantees": map[string]any{"answerSlack": 8000, "cold": 17000000, "coldFrom": 0.22, "drainGrace": 500000,
				"fallMultiple": 3, "overloadFor": 1500000, "countedOver": 5000000, "freeResends": 3, "furtherRatio": 0.15},
			"limits": map[string]any{"cancel": true, "connIdle": 30000000, "connectTimeout": 250000, "maxAttempts": 4,
				"maxRetryAfter": 500000, "retryAfter": true, "parallelTries": true, "probes": false, "openCap": 20000},
		},
	})
}

// startHead starts a head with its files in dir, and waits until it is ready.
func startHead(dir, discovery string, limits headLimits) (*head, error) {
	run, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	h := &head{}
	if h.addr, err = freeAddr(); err != nil {
		return nil, err
	}
	text, err := configText(h.addr, discovery, limits)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return nil, err
	}
	h.process, err = startProcess(dir, "head", run,
		"ROUTER_CONFIG="+file, "ROUTER_NAME=n0", "ROUTER_LISTEN="+h.addr, "ROUTER_DISCOVERY="+discovery)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 1000 {
		if response, err := client.Get("http://" + h.addr + "/-/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return h, nil
			}
		}
		if h.hasEnded() {
			return nil, fmt.Errorf("the head ended at its start: %v: %s", h.err, h.log())
		}
		time.Sleep(20 * time.Millisecond)
	}
	h.kill()
	return nil, errors.New("the head is not ready in 20 s: " + h.log())
}

// anonymousKB returns the anonymous memory of a process in KiB: heap and stacks, without the pages of its program
// file. 0 means that it cannot be read.
func (p *process) anonymousKB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0
}

// request returns a request of the platform's protocol in wire form.
func request(method, id, class string, shard int, remaining time.Duration, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: %s\r\nTier: priority\r\nPiece: 7f3a9c21e0b4d655\r\n",
		method, id, class)
	fmt.Fprintf(&b, "X-Remaining: %dm\r\nIO-Info: volume=00000003b4d60021,units=1,shard=%d,hosts=1\r\n", remaining.Milliseconds(), shard)
	if method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	return b.String() + body
}
