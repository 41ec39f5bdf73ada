package lab

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Client is a client's connection to a head.
type Client struct {
	net.Conn
	In *bufio.Reader
}

// Dial opens a connection to a head.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReader(c)}, nil
}

// Read reads an answer that has to come by a time.
func (c *Client) Read(by time.Time) (status int, body string, closing bool, err error) {
	c.SetReadDeadline(by)
	answer, err := http.ReadResponse(c.In, nil)
	if err != nil {
		return 0, "", true, err
	}
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text), answer.Close, err
}

// Settings returns the settings of a small deployment in the simulator's form, with the figures of the
// example that the users' pages give. classes and shards are the case's own.
func Settings(classes []Object, writes []bool, shards int) Object {
	return Object{
		"classes": classes, "clientHabits": Object{"marksRetry": true}, "discovery": "push", "family": "stores",
		"familyInfo": Object{"beyondShare": 0.1, "coldUnits": 25.0, "fairWorth": 0.35, "metering": 0, "nShards": shards,
			"saysOthers": false, "unitsTop": 6, "usualUnits": 2.12, "writes": writes},
		"fleetSize": 3,
		"grades": []Object{
			{"ceilingRate": 41.0, "guaranteed": 2.0, "limitBurst": 65.0, "limitSlack": 7.0, "name": "standard", "nominal": 4.1, "shares": 1.0, "valueFactor": 0.8},
			{"ceilingRate": 0.0, "guaranteed": 6.1, "limitBurst": 0.0, "limitSlack": 0.0, "name": "priority", "nominal": 6.1, "shares": 2.0, "valueFactor": 1.0},
		},
		"guarantees": Object{"answerSlack": 8000, "cold": 17000000, "coldFrom": 0.22, "countedOver": 5000000, "drainGrace": 500000,
			"fallMultiple": 3.0, "freeResends": 3.0, "furtherRatio": 0.15, "mustAskIn": 10000000, "overloadFor": 1500000},
		"kinds": []string{"single-fast", "dual-slow"},
		"limits": Object{"cancel": true, "connIdle": 30000000, "connectTimeout": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 300000,
			"maxAttempts": 4, "maxRetryAfter": 500000, "mayTell": false, "multiplex": 1, "openCap": 20000, "parallelTries": true,
			"probes": false, "retryAfter": true},
		"selfIndex": 0, "telemetry": Object{"names": []string{"concurrent"}, "via": "answers"}, "tick": 2000, "tier": 0,
		"tiers": []string{"feed-store"}, "weights": "nominal", "zone": 0, "zones": []string{"hall-a", "hall-b", "hall-c"},
	}
}

// Class returns a class of the settings.
func Class(name, effect string, target, deadline, window time.Duration) Object {
	return Object{"name": name, "effect": effect, "group": "all", "target": target.Microseconds(), "deadline": deadline.Microseconds(),
		"window": window.Microseconds(), "gain": 2.0, "lateWorth": 0.15, "stream": false}
}
