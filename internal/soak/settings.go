package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/config"
	"maddergap/internal/discovery"
	"maddergap/internal/platform"
)

// volume is one of the volumes of a run, and the plan that it has.
type volume struct {
	name string
	plan string
}

// volumes are the volumes of a run: one without a limit, and one whose limit binds.
var volumes = [...]volume{
	{name: "00000000feed0001", plan: "low"},
	{name: "00000000feed0002", plan: "limited"},
}

// What binds requests beside their time. A head has a part of the limit, which holds its largest
// request and is less than what is asked of it.
const (
	freeShare   = 0.8 // of the requests, for the volume without a limit
	limitRate   = 2.0 // units a second of each head's part
	limitBurst  = 4.0 // units of each head's part
	orderRest   = 200 * time.Millisecond
	budgetOver  = 2 * time.Second
	budgetFree  = 3
	budgetShare = 0.1
	// orderKeys is how many keys the ordered requests of a head have.
	orderKeys = 3
)

// What nodes bear, for the settings and for the audit.
const (
	coldFor      = 3 * time.Second
	coldFrom     = 0.25
	coldMultiple = 2
	coldWindow   = time.Second
	coldUnits    = 16
	nodeRate     = 150 // units a second of a warm node, for what a cold one bears
	meanUnits    = 1
)

// class is a class of requests.
type class struct {
	name     string
	effect   string
	group    string
	write    bool
	target   time.Duration
	deadline time.Duration
	window   time.Duration
	inOrder  bool
}

// settings are the deployment that a run has.
type settings struct {
	classes []class
	shards  int
	heads   int
	sockets int
}

// drawSettings draws a deployment: one class of each effect, deadlines long or short.
func drawSettings(o *Options) *settings {
	r := rand.New(rand.NewPCG(o.Seed, 0x73657474))
	span := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * time.Millisecond }
	s := &settings{shards: o.Nodes / 2, heads: o.Instances, sockets: 256}
	s.classes = []class{
		{name: "read", effect: "retryable", group: "all", target: span(60, 150), deadline: span(500, 1600)},
		{name: "write", effect: "fragile", group: "all", write: true, target: span(80, 200), deadline: span(500, 1600)},
		{name: "keyed", effect: "dedup", group: []string{"all", "zone", "cell"}[r.IntN(3)], write: true, target: span(80, 200),
			deadline: span(600, 1600), window: span(200, 600)},
		{name: "ordered", effect: "fragile", group: "all", write: true, target: span(80, 200), deadline: span(500, 1600), inOrder: true},
	}
	return s
}

// longest is the longest deadline.
func (s *settings) longest() (longest time.Duration) {
	for _, c := range s.classes {
		longest = max(longest, c.deadline)
	}
	return longest
}

func micros(d time.Duration) int64 { return d.Microseconds() }

// file is the configuration of a head.
func (s *settings) file(head int, listen, agent string, known discovery.EndpointList) ([]byte, error) {
	var classes []map[string]any
	var writes []bool
	for _, c := range s.classes {
		classes = append(classes, map[string]any{"name": c.name, "target": micros(c.target), "deadline": micros(c.deadline),
			"effect": c.effect, "group": c.group, "window": micros(c.window), "inTurn": c.inOrder, "gain": 2, "lateWorth": 0.1})
		writes = append(writes, c.write)
	}
	return json.Marshal(map[string]any{"name": fmt.Sprint("h", head), "listen": listen, "discovery": agent,
		"seed": fmt.Sprintf("%016x", rand.Uint64()), "known": known,
		"limits": map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": s.sockets},
		"settings": map[string]any{"fleetSize": s.heads, "discovery": "push", "zones": []string{"z0", "z1"}, "classes": classes,
			"grades": []map[string]any{{"name": "low", "shares": 1, "guaranteed": 1000, "valueFactor": 1},
				{"name": "limited", "shares": 1, "guaranteed": 1000, "valueFactor": 1, "ceilingRate": limitRate * float64(s.heads),
					"limitBurst": limitBurst * float64(s.heads)}},
			"familyInfo": map[string]any{"unitsTop": 4, "usualUnits": meanUnits, "fairWorth": 0.3, "nShards": s.shards, "writes": writes,
				"coldUnits": coldUnits},
			"guarantees": map[string]any{"cold": micros(coldFor), "coldFrom": coldFrom, "fallMultiple": coldMultiple, "overloadFor": micros(coldWindow),
				"orderSettle": micros(orderRest), "countedOver": micros(budgetOver), "freeResends": budgetFree, "furtherRatio": budgetShare},
			"limits": map[string]any{"maxAttempts": 4, "maxRetryAfter": 500000, "retryAfter": true, "connIdle": 4000000, "connectTimeout": 250000}}})
}

// audited is what the audit goes by.
func (s *settings) audited(dir string, text []byte) (*config.Config, error) {
	c, err := platform.Parse(filepath.Join(dir, "audit"), text, os.Getenv)
	if err != nil {
		return nil, err
	}
	for i, v := range volumes {
		c.Gateway.Volumes = append(c.Gateway.Volumes, config.Volume{Name: v.name, Plan: i})
	}
	return c.Gateway, nil
}

func (s *settings) cold() audit.SlowStart {
	return audit.SlowStart{MeanUnits: meanUnits, MinUnits: coldUnits, Capacity: nodeRate, InitialFraction: coldFrom, WarmupDuration: coldFor, OverloadFactor: coldMultiple, OverloadWindow: coldWindow}
}

// asked is what a client asks for.
type asked struct {
	id     string
	class  int
	volume *volume
	shard  int
	key    uint64
	wait   time.Duration
}

// draw draws what a client asks for.
func (s *settings) draw(r *rand.Rand, id string) asked {
	a := asked{id: id, class: r.IntN(len(s.classes)), volume: &volumes[0], shard: r.IntN(s.shards), key: r.Uint64N(64)}
	if r.Float64() >= freeShare {
		a.volume = &volumes[1]
	}
	class := &s.classes[a.class]
	if class.inOrder {
		a.key = r.Uint64N(orderKeys)
	}
	a.wait = class.deadline/2 + time.Duration(r.Int64N(int64(class.deadline/2)))
	return a
}

// request writes a request.
func (s *settings) request(a asked) string {
	c := &s.classes[a.class]
	method, body := "GET", ""
	if c.write {
		method, body = "PUT", "payload of "+a.id
	}
	return fmt.Sprintf("%s /api HTTP/1.1\r\nHost: b\r\nX-Txn: %s\r\nX-Lane: %s\r\nTier: %s\r\nPiece: %016x\r\nX-Remaining: %dm\r\n"+
		"IO-Info: volume=%s,units=1,shard=%d,hosts=%d\r\nContent-Length: %d\r\n\r\n%s", method, a.id, c.name, a.volume.plan, a.key, a.wait.Milliseconds(),
		a.volume.name, a.shard, s.heads, len(body), body)
}
