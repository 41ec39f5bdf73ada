package settings

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"maddergap/scheduler"
)

// allKeysJSON is a valid settings object with every key that the package knows.
const allKeysJSON = `{
	"fleetSize": 3, "discovery": "ask",
	"classes": [
		{"name": "read", "target": 200000, "deadline": 1500000, "effect": "retryable", "gain": 2, "lateWorth": 0.1},
		{"name": "put", "target": 400000, "effect": "dedup", "group": "cell", "window": 5000000, "gain": 1},
		{"name": "append", "target": 300000, "effect": "fragile", "inTurn": true, "gain": 3}],
	"grades": [{"name": "gold", "nominal": 20, "guaranteed": 10, "shares": 4, "valueFactor": 1.5, "ceilingRate": 50, "limitBurst": 60}],
	"familyInfo": {"coldUnits": 7, "unitsTop": 8, "usualUnits": 2, "fairWorth": 0.3, "nShards": 5, "writes": [false, true, true]},
	"guarantees": {"cold": 10000000, "coldFrom": 0.25, "fallMultiple": 3, "overloadFor": 1500000, "orderSettle": 300000,
		"countedOver": 2000000, "freeResends": 4, "furtherRatio": 0.125},
	"limits": {"maxAttempts": 4, "maxRetryAfter": 500000, "retryAfter": true, "connIdle": 30000000, "connectTimeout": 250000},
	"zones": ["a", "b"]
}`

func decodeSite(t *testing.T, text string) *Site {
	t.Helper()
	site := &Site{}
	if err := json.Unmarshal([]byte(text), site); err != nil {
		t.Fatal(err)
	}
	return site
}

// Verifies that each key of the settings object is converted to the scheduler setting it stands for.
func TestSettingsMapsEveryKey(t *testing.T) {
	site := decodeSite(t, allKeysJSON)
	if err := site.Validate(); err != nil {
		t.Fatal(err)
	}
	want := scheduler.Settings{
		Instances: 3,
		Classes: []scheduler.Class{
			{Name: "read", LatencyObjective: 200 * time.Millisecond, Deadline: 1500 * time.Millisecond, Effect: scheduler.Safe,
				PriorityWeight: 2, LateWeightFactor: 0.1},
			{Name: "put", LatencyObjective: 400 * time.Millisecond, Effect: scheduler.Idempotent,
				DeduplicationScope: scheduler.ScopeShard, DeduplicationWindow: 5 * time.Second, PriorityWeight: 1},
			{Name: "append", LatencyObjective: 300 * time.Millisecond, Effect: scheduler.NonIdempotent, Ordered: true, PriorityWeight: 3},
		},
		Plans:    []scheduler.Plan{{Name: "gold", Rate: 20, Reserve: 10, Weight: 4, PriorityFactor: 1.5, Limit: 50, LimitBurst: 60}},
		MaxUnits: 8, MeanUnits: 2, ExcessWeight: 0.3,
		PollDiscovery: true, MaxAttempts: 4, MaxRetryAfter: 500 * time.Millisecond, KeyCooldown: 300 * time.Millisecond,
		SlowStart: scheduler.SlowStart{WarmupDuration: 10 * time.Second, InitialFraction: 0.25, MinUnits: 7,
			OverloadWindow: 1500 * time.Millisecond, OverloadFactor: 3},
		RetryBudget: &scheduler.RetryBudget{MinRetries: 4, Ratio: 0.125, Window: 2 * time.Second},
	}
	if got := site.Settings(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if site.Limits.ConnectionIdle != 30_000_000 || site.Limits.ConnectTimeout != 250_000 || site.Workload.Shards != 5 ||
		len(site.Zones) != 2 || len(site.Workload.Writes) != 3 {
		t.Errorf("got %+v", site)
	}
}

// Verifies the conversion of a site without plans, without a retry budget window and without Retry-After.
func TestSettingsOfMinimalSite(t *testing.T) {
	site := decodeSite(t, `{"fleetSize": 1, "classes": [{"name": "read", "target": 1000, "effect": "retryable", "gain": 1}],
		"familyInfo": {"unitsTop": 1, "usualUnits": 1}, "limits": {"maxRetryAfter": 500000}, "guarantees": {"freeResends": 4}}`)
	if err := site.Validate(); err != nil {
		t.Fatal(err)
	}
	got := site.Settings()
	if got.RetryBudget != nil || got.MaxRetryAfter != 0 || got.PollDiscovery {
		t.Errorf("got %+v", got)
	}
	if want := []scheduler.Plan{{Weight: 1, PriorityFactor: 1}}; !reflect.DeepEqual(got.Plans, want) {
		t.Errorf("plans %+v, want %+v", got.Plans, want)
	}
}

// Verifies that the error for each kind of invalid value contains its JSON key.
func TestValidateReportsKey(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"no instances", `"fleetSize": 3`, `"fleetSize": 0`, "settings: fleetSize is 0, want at least 1"},
		{"unknown effect", `"effect": "fragile"`, `"effect": "odd"`, `settings: classes[2] append: effect "odd" is unknown`},
		{"unknown scope", `"group": "cell"`, `"group": "odd"`, `settings: classes[1] put: group "odd" is unknown`},
		{"no target", `"target": 300000`, `"target": 0`, `settings: classes[2] "append": want a name, a target above 0 and a gain of at least 0`},
		{"no burst", `"limitBurst": 60`, `"limitBurst": 0`, "settings: grades[0] gold: limitBurst is 0 with a ceilingRate of 50, so no request could ever be sent"},
		{"negative share", `"shares": 4`, `"shares": -4`, "settings: grades[0] gold: shares is -4, want at least 0"},
		{"plan without a name", `"gold"`, `""`, "settings: grades[0] has no name"},
		{"too few writes", `[false, true, true]`, `[true]`, "settings: familyInfo.writes has 1 entries, but there are 3 classes"},
		{"no units", `"unitsTop": 8`, `"unitsTop": 0`, "settings: familyInfo.unitsTop is 0 and usualUnits is 2, want both above 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := decodeSite(t, strings.Replace(allKeysJSON, c.old, c.replacement, 1)).Validate()
			if err == nil || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}
