package daemon

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"maddergap/internal/admission"
	"maddergap/internal/eventloop"
	"maddergap/internal/gateway"
	"maddergap/internal/invariant"
)

const (
	// metricsInterval is the minimum time between two snapshots that the loop publishes for the
	// goroutines that serve metrics.
	metricsInterval = 100 * time.Millisecond
	// metricsHeaderTimeout bounds the time to read the header of a scrape request.
	metricsHeaderTimeout = 5 * time.Second
)

// metricsServer serves metrics to Prometheus. It has its own listener and goroutines, so that a scrape
// never delays the loop.
type metricsServer struct {
	addr       string
	server     *http.Server
	iterations *iterationStats // used on the loop's goroutine only, except for its histogram

	publishedAt time.Duration            // time of the last snapshot; used on the loop's goroutine only
	snapshot    atomic.Pointer[snapshot] // nil before the first publish
}

// snapshot holds the values that the loop has published. It is immutable.
type snapshot struct {
	gateway.Counts
	longest phaseDurations
}

// newMetricsServer listens on addr and starts to serve metrics.
func newMetricsServer(addr string, iterations *iterationStats) (*metricsServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	m := &metricsServer{addr: listener.Addr().String(), iterations: iterations}
	registry := prometheus.NewRegistry()
	registry.MustRegister(m, iterations.histogram)
	m.server = &http.Server{Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), ReadHeaderTimeout: metricsHeaderTimeout}
	go m.server.Serve(listener)
	return m, nil
}

func (m *metricsServer) close() { m.server.Close() }

// publish stores a new snapshot for scrapes, at most once per metricsInterval. It is called on the
// loop's goroutine.
func (m *metricsServer) publish(now time.Duration, g *gateway.Gateway) {
	if m.snapshot.Load() != nil && now < m.publishedAt+metricsInterval {
		return
	}
	m.snapshot.Store(&snapshot{Counts: g.Counts(), longest: m.iterations.longest()})
	m.publishedAt = now
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// Metric names and label values are kept as existing dashboards use them, so some of them differ from
// the terms used in the code.
var (
	requestsDesc         = newDesc("maddergap_requests_total", "Requests received, by outcome; left: the client disconnected before its response; dropped: the gateway ended its connection; local: the gateway itself responded.", "outcome")
	attemptsDesc         = newDesc("maddergap_attempts_total", "Attempts sent to nodes.")
	malformedDesc        = newDesc("maddergap_malformed_total", "Requests rejected as malformed or too slow.")
	rejectedDesc         = newDesc("maddergap_turned_away_total", "Connections and requests rejected by admission, by the limit that rejected them.", "reason")
	preemptedDesc        = newDesc("maddergap_connections_preempted_total", "Idle connections closed to make room.")
	givenUpDesc          = newDesc("maddergap_attempts_given_up_total", "Attempts without a response when the nodes' deduplication window for their request ended.")
	nodeConnsOpenedDesc  = newDesc("maddergap_node_connections_opened_total", "Connections to nodes that were opened, established or not.")
	unsolicitedDesc      = newDesc("maddergap_unsolicited_responses_total", "Idle connections to nodes that were closed because data arrived on them, such as a second response.")
	connectionsDesc      = newDesc("maddergap_connections", "Open connections, by kind: client, known (clients of these), node.", "kind")
	longestIterationDesc = newDesc("maddergap_turn_longest_seconds", "The longest event loop iteration within this minute and the last, and the longest of each phase.", "part")
	clientBuffersDesc    = newDesc("maddergap_client_buffers_bytes", "Capacity of the buffers in use, in both directions.")
	lagDesc              = newDesc("maddergap_lag_seconds", "How much later than requested the event loop was woken lately; taken twice from the deadlines.")
	withheldDesc         = newDesc("maddergap_attempts_withheld_total", "Attempts withheld, by the invariant that they would have violated.", "rule")
	violatedDesc         = newDesc("maddergap_invariants_broken_total", "Invariants found violated after the fact, by rule.", "rule")
	admissionEntriesDesc = newDesc("maddergap_admission_entries", "Entries of the admission tables in use.", "table")
)

// wholeIteration is the label value for the duration of an iteration with all its phases.
const wholeIteration = "whole"

// Describe implements prometheus.Collector.
func (*metricsServer) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{requestsDesc, attemptsDesc, malformedDesc, rejectedDesc, preemptedDesc, givenUpDesc, nodeConnsOpenedDesc, unsolicitedDesc, connectionsDesc, longestIterationDesc,
		clientBuffersDesc, lagDesc, withheldDesc, violatedDesc, admissionEntriesDesc} {
		ch <- desc
	}
}

// Collect implements prometheus.Collector. It reports the last snapshot, and nothing before the first.
func (m *metricsServer) Collect(ch chan<- prometheus.Metric) {
	s := m.snapshot.Load()
	if s == nil {
		return
	}
	collectCounters(ch, &s.Counts)
	collectGauges(ch, s)
}

// collectCounters sends the gateway's counters as metrics.
func collectCounters(ch chan<- prometheus.Metric, c *gateway.Counts) {
	counter := func(desc *prometheus.Desc, n uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), labels...)
	}
	counter(requestsDesc, c.Served, gateway.Served.String())
	counter(requestsDesc, c.Rejected, gateway.Rejected.String())
	counter(requestsDesc, c.Failed, gateway.Failed.String())
	counter(requestsDesc, c.Disconnected-c.Dropped, gateway.ClientDisconnected.String())
	counter(requestsDesc, c.Dropped, gateway.Dropped.String())
	counter(requestsDesc, c.Local, gateway.AnsweredLocally.String())
	counter(attemptsDesc, c.Attempts)
	counter(malformedDesc, c.Malformed)
	counter(preemptedDesc, c.Preempted)
	counter(givenUpDesc, c.AttemptsGivenUp)
	counter(nodeConnsOpenedDesc, c.NodeConnsOpened)
	counter(unsolicitedDesc, c.UnsolicitedResponses)
	for r := admission.ReasonNone + 1; r < admission.ReasonCount; r++ {
		counter(rejectedDesc, c.ConnectionsRejected[r], r.String())
	}
	for r := invariant.None + 1; r < invariant.RuleCount; r++ {
		counter(withheldDesc, c.Invariants.Withheld[r], r.String())
		counter(violatedDesc, c.Invariants.Violated[r], r.String())
	}
}

// collectGauges sends the current state of the gateway and of the loop as metrics.
func collectGauges(ch chan<- prometheus.Metric, s *snapshot) {
	gauge := func(desc *prometheus.Desc, x float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, x, labels...)
	}
	gauge(connectionsDesc, float64(s.Clients), "client")
	gauge(connectionsDesc, float64(s.Admitted.Known), "known")
	gauge(connectionsDesc, float64(s.NodeConns), "node")
	gauge(lagDesc, s.Lag.Seconds())
	gauge(clientBuffersDesc, float64(s.BufferedBytes))
	gauge(admissionEntriesDesc, float64(s.Admitted.Addresses), "addresses")
	gauge(admissionEntriesDesc, float64(s.Admitted.Prefixes), "prefixes")
	gauge(admissionEntriesDesc, float64(s.Admitted.Learned), "learned")
	for p, longest := range s.longest.phases {
		gauge(longestIterationDesc, longest.Seconds(), eventloop.Phase(p).String())
	}
	gauge(longestIterationDesc, s.longest.total.Seconds(), wholeIteration)
}
