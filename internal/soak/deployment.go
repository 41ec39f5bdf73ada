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
	"maddergap/internal/settings"
)

// Settings of the deployment, apart from its classes.
const (
	keyCooldown      = 200 * time.Millisecond // see scheduler.Settings.KeyCooldown
	maxAttempts      = 4
	maxRetryAfter    = 500 * time.Millisecond
	connectionIdle   = 4 * time.Second // idle time after which nodes close a connection, by the settings
	connectTimeout   = 250 * time.Millisecond
	maxUnits         = 4
	meanUnits        = 1 // mean work of a request
	excessWeight     = 0.3
	lateWeightFactor = 0.1
	priorityWeight   = 2
	reservedRate     = 1000 // reserve of each plan, in units per second
)

// Settings of the retry budget.
const (
	retryBudgetWindow = 2 * time.Second
	retryBudgetMin    = 3   // retries that are always allowed in a window
	retryBudgetRatio  = 0.1 // additional retries allowed for each request in a window
)

// Each instance's share of the limit of the limited plan. It admits the largest request (maxUnits) and
// is below the load that the instance's clients offer, so that the limit takes effect.
const (
	limitRatePerInstance  = 2.0 // units per second
	limitBurstPerInstance = 4.0 // units
)

// Capacity of a node, and the load that it can take while it is warming up.
const (
	warmupDuration    = 3 * time.Second
	initialFraction   = 0.25 // fraction of the capacity at the start
	overloadFactor    = 2
	overloadWindow    = time.Second
	slowStartMinUnits = 16  // units that a node can process in any window
	nodeCapacity      = 150 // units per second after the warm-up
)

// Limits of the machine that an instance is configured for.
const (
	instanceCores       = 0.5
	instanceMemoryMB    = 64
	instanceDescriptors = 256
)

// deploymentStream is the stream of the random number generator that deployments are drawn from, used
// together with the seed.
const deploymentStream = 0x73657474

// zones holds the names of the zones of the nodes.
var zones = []string{"z0", "z1"}

// volume is a volume that clients send requests for.
type volume struct {
	name string
	plan int // index into planNames
}

// planNames holds the names of the plans: one without a limit, and one whose limit is exceeded by the
// load.
var planNames = [...]string{"low", "limited"}

// unlimitedVolume and limitedVolume are the volumes of a run, one for each plan.
var (
	unlimitedVolume = volume{name: "00000000feed0001", plan: 0}
	limitedVolume   = volume{name: "00000000feed0002", plan: 1}
)

// class is a class of requests. See scheduler.Class.
type class struct {
	name                string
	effect              string // name in the settings object
	deduplicationScope  string // name in the settings object
	write               bool
	latencyObjective    time.Duration
	deadline            time.Duration
	deduplicationWindow time.Duration
	ordered             bool
}

// deployment describes the classes and the fleet for which the instances of a run are configured.
type deployment struct {
	classes   []class
	shards    int // number of shards
	instances int // number of instances
}

// drawDeployment returns the deployment determined by the options. It has a class of each effect and
// an ordered class. Latency objectives, deadlines and the deduplication of the idempotent class are
// random.
func drawDeployment(o *Options) *deployment {
	r := rand.New(rand.NewPCG(o.Seed, deploymentStream))
	duration := func(from, to time.Duration) time.Duration { // from plus a random number of whole milliseconds, below to
		return from + time.Duration(r.IntN(int((to-from).Milliseconds())))*time.Millisecond
	}
	objective := func(longest time.Duration) time.Duration { return duration(longest*2/5, longest) }
	deadline := func() time.Duration { return duration(500*time.Millisecond, 1600*time.Millisecond) }
	d := &deployment{shards: o.Nodes / nodesPerShard, instances: o.Instances}
	d.classes = []class{
		{
			name:               "read",
			effect:             "retryable",
			deduplicationScope: "all",
			latencyObjective:   objective(150 * time.Millisecond),
			deadline:           deadline(),
		},
		{
			name:               "write",
			effect:             "fragile",
			deduplicationScope: "all",
			write:              true,
			latencyObjective:   objective(200 * time.Millisecond),
			deadline:           deadline(),
		},
		{
			name:                "keyed",
			effect:              "dedup",
			deduplicationScope:  []string{"all", "zone", "cell"}[r.IntN(3)],
			write:               true,
			latencyObjective:    objective(200 * time.Millisecond),
			deadline:            duration(600*time.Millisecond, 1600*time.Millisecond),
			deduplicationWindow: duration(200*time.Millisecond, 600*time.Millisecond),
		},
		{
			name:               "ordered",
			effect:             "fragile",
			deduplicationScope: "all",
			write:              true,
			latencyObjective:   objective(200 * time.Millisecond),
			deadline:           deadline(),
			ordered:            true,
		},
	}
	return d
}

// longestDeadline returns the longest deadline of any class.
func (d *deployment) longestDeadline() (longest time.Duration) {
	for i := range d.classes {
		longest = max(longest, d.classes[i].deadline)
	}
	return longest
}

// site returns the settings object of the deployment.
func (d *deployment) site() *settings.Site {
	site := &settings.Site{
		Instances: d.instances,
		Discovery: "push",
		Zones:     zones,
		Plans:     d.plans(),
		Workload: settings.Workload{
			SlowStartMinUnits: slowStartMinUnits,
			MaxUnits:          maxUnits,
			MeanUnits:         meanUnits,
			ExcessWeight:      excessWeight,
			Shards:            d.shards,
		},
		Guarantees: settings.Guarantees{
			WarmupDuration:        warmupDuration.Microseconds(),
			InitialFraction:       initialFraction,
			OverloadFactor:        overloadFactor,
			OverloadWindow:        overloadWindow.Microseconds(),
			KeyCooldown:           keyCooldown.Microseconds(),
			RetryBudgetWindow:     retryBudgetWindow.Microseconds(),
			RetryBudgetMinRetries: retryBudgetMin,
			RetryBudgetRatio:      retryBudgetRatio,
		},
		Limits: settings.Limits{
			MaxAttempts:    maxAttempts,
			MaxRetryAfter:  maxRetryAfter.Microseconds(),
			SendRetryAfter: true,
			ConnectionIdle: connectionIdle.Microseconds(),
			ConnectTimeout: connectTimeout.Microseconds(),
		},
	}
	for i := range d.classes {
		site.Classes = append(site.Classes, d.classes[i].settings())
		site.Workload.Writes = append(site.Workload.Writes, d.classes[i].write)
	}
	return site
}

// settings returns the class in the form of the settings object.
func (c *class) settings() settings.Class {
	return settings.Class{
		Name:                c.name,
		LatencyObjective:    c.latencyObjective.Microseconds(),
		Deadline:            c.deadline.Microseconds(),
		Effect:              c.effect,
		DeduplicationScope:  c.deduplicationScope,
		DeduplicationWindow: c.deduplicationWindow.Microseconds(),
		Ordered:             c.ordered,
		PriorityWeight:      priorityWeight,
		LateWeightFactor:    lateWeightFactor,
	}
}

// plans returns the plans named in planNames, in this order.
func (d *deployment) plans() []settings.Plan {
	unlimited := settings.Plan{Name: planNames[unlimitedVolume.plan], Weight: 1, Reserve: reservedRate, PriorityFactor: 1}
	limited := unlimited
	limited.Name = planNames[limitedVolume.plan]
	limited.Limit = limitRatePerInstance * float64(d.instances)
	limited.LimitBurst = limitBurstPerInstance * float64(d.instances)
	return []settings.Plan{unlimited, limited}
}

// instanceConfig is the configuration file of an instance, in the format that package platform reads.
type instanceConfig struct {
	Name      string                 `json:"name"`
	Listen    string                 `json:"listen"`    // host:port
	Discovery string                 `json:"discovery"` // host:port
	Seed      string                 `json:"seed"`      // 16 hex digits
	Limits    machineLimits          `json:"limits"`
	Known     discovery.EndpointList `json:"known"` // the initial node list
	Settings  *settings.Site         `json:"settings"`
}

// machineLimits holds the resources of the machine on which an instance runs.
type machineLimits struct {
	Cores       float64 `json:"cores"`
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"sockets"`
}

// configFile returns the configuration file of an instance. Each call sets a new random seed for the
// gateway, which does not follow from the seed of the run.
func (d *deployment) configFile(instance int, listenAddr, discoveryAddr string, known discovery.EndpointList) ([]byte, error) {
	return json.Marshal(instanceConfig{
		Name:      fmt.Sprint("h", instance),
		Listen:    listenAddr,
		Discovery: discoveryAddr,
		Seed:      fmt.Sprintf("%016x", rand.Uint64()),
		Limits:    machineLimits{Cores: instanceCores, MemoryMB: instanceMemoryMB, Descriptors: instanceDescriptors},
		Known:     known,
		Settings:  d.site(),
	})
}

// auditConfig returns the configuration that the audit checks a run against. It is the configuration of
// an instance, with the volumes added.
func (d *deployment) auditConfig(dir string) (*config.Config, error) {
	const anyAddr = "127.0.0.1:1" // required, but not used by the audit
	text, err := d.configFile(0, anyAddr, anyAddr, discovery.EndpointList{})
	if err != nil {
		return nil, err
	}
	c, err := platform.Parse(filepath.Join(dir, "audit"), text, os.Getenv)
	if err != nil {
		return nil, err
	}
	for _, v := range []volume{unlimitedVolume, limitedVolume} {
		c.Gateway.Volumes = append(c.Gateway.Volumes, config.Volume{Name: v.name, Plan: v.plan})
	}
	return c.Gateway, nil
}

// slowStart returns the load that a node can take while it is warming up, for the audit.
func (d *deployment) slowStart() audit.SlowStart {
	return audit.SlowStart{
		MeanUnits:       meanUnits,
		MinUnits:        slowStartMinUnits,
		Capacity:        nodeCapacity,
		InitialFraction: initialFraction,
		WarmupDuration:  warmupDuration,
		OverloadFactor:  overloadFactor,
		OverloadWindow:  overloadWindow,
	}
}
