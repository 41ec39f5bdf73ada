package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"maddergap/internal/admission"
	"maddergap/internal/eventloop"
	"maddergap/internal/gateway"
	"maddergap/internal/invariant"
)

// publishEvery is how often the loop leaves its sums for other goroutines.
const publishEvery = 100 * time.Millisecond

func (d *Daemon) publish() {
	if now := d.loop.Now(); d.counts.Load() == nil || now >= d.publishedAt+publishEvery {
		d.counts.Store(&published{d.head.Counts(), d.turns.most()})
		d.publishedAt = now
	}
}

// published is what other goroutines may read of a head.
type published struct {
	gateway.Counts
	longest [eventloop.PhaseCount + 1]time.Duration
}

func sum(list []uint64) (n uint64) {
	for _, x := range list {
		n += x
	}
	return n
}

// serveMetrics opens the metrics' own listener; it is not on the head's path.
func (d *Daemon) serveMetrics(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r := prometheus.NewRegistry()
	r.MustRegister(collector{d}, d.turns.seconds)
	d.metrics = &http.Server{Handler: promhttp.HandlerFor(r, promhttp.HandlerOpts{}), ReadHeaderTimeout: 5 * time.Second}
	d.metricsAddr = ln.Addr().String()
	go d.metrics.Serve(ln)
	return nil
}

// collector reads the sums that the loop left.
type collector struct{ d *Daemon }

var (
	requestsDesc  = prometheus.NewDesc("maddergap_requests_total", "Requests taken, by final answer; left: the client went before.", []string{"outcome"}, nil)
	attemptsDesc  = prometheus.NewDesc("maddergap_attempts_total", "Sends to nodes.", nil, nil)
	badDesc       = prometheus.NewDesc("maddergap_malformed_total", "Requests answered as malformed or too slow.", nil, nil)
	turnedDesc    = prometheus.NewDesc("maddergap_turned_away_total", "Connections and requests not admitted, by what kept them out.", []string{"reason"}, nil)
	preemptedDesc = prometheus.NewDesc("maddergap_connections_preempted_total", "Idle connections closed to make room.", nil, nil)
	connsDesc     = prometheus.NewDesc("maddergap_connections", "Connections now, by kind: client, known (of clients), node.", []string{"kind"}, nil)
	turnDesc      = prometheus.NewDesc("maddergap_turn_longest_seconds", "The longest turn of the loop within this minute and the last, and the longest of each part.", []string{"part"}, nil)
	heldDesc      = prometheus.NewDesc("maddergap_client_buffers_bytes", "Bytes held for all client connections.", nil, nil)
	lagDesc       = prometheus.NewDesc("maddergap_lag_seconds", "How much later than asked the head was woken lately; taken twice from its clients' time.", nil, nil)
	withheldDesc  = prometheus.NewDesc("maddergap_attempts_withheld_total", "Attempts that were not begun, by the invariant that was against it.", []string{"rule"}, nil)
	brokenDesc    = prometheus.NewDesc("maddergap_invariants_broken_total", "Invariants found broken after the fact, by rule.", []string{"rule"}, nil)
	tableDesc     = prometheus.NewDesc("maddergap_admission_entries", "Entries of admission's tables in use.", []string{"table"}, nil)
)

func (collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, attemptsDesc, badDesc, turnedDesc, preemptedDesc, connsDesc, tableDesc, turnDesc, heldDesc, lagDesc, withheldDesc, brokenDesc} {
		ch <- d
	}
}

func (k collector) Collect(ch chan<- prometheus.Metric) {
	c := k.d.counts.Load()
	if c == nil {
		return
	}
	count := func(d *prometheus.Desc, n uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	gauge := func(d *prometheus.Desc, n int, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n), labels...)
	}
	for p, took := range c.longest {
		name := "whole"
		if p < int(eventloop.PhaseCount) {
			name = eventloop.Phase(p).String()
		}
		ch <- prometheus.MustNewConstMetric(turnDesc, prometheus.GaugeValue, took.Seconds(), name)
	}
	for o, n := range map[gateway.Outcome]uint64{gateway.Served: c.Served, gateway.Rejected: c.Rejected, gateway.Failed: c.Failed, gateway.ClientDisconnected: c.Disconnected} {
		count(requestsDesc, n, o.String())
	}
	count(attemptsDesc, c.Attempts)
	count(badDesc, c.Malformed)
	count(preemptedDesc, c.Preempted)
	for r := admission.ReasonNone + 1; r < admission.ReasonCount; r++ {
		count(turnedDesc, c.ConnectionsRejected[r], r.String())
	}
	for r := invariant.None + 1; r < invariant.RuleCount; r++ {
		count(withheldDesc, c.Invariants.Withheld[r], r.String())
		count(brokenDesc, c.Invariants.Violated[r], r.String())
	}
	gauge(connsDesc, c.Clients, "client")
	gauge(connsDesc, c.Admitted.Known, "known")
	gauge(connsDesc, c.NodeConns, "node")
	ch <- prometheus.MustNewConstMetric(lagDesc, prometheus.GaugeValue, c.Stall.Seconds())
	gauge(heldDesc, int(c.BufferedBytes))
	gauge(tableDesc, c.Admitted.Addresses, "addresses")
	gauge(tableDesc, c.Admitted.Prefixes, "prefixes")
	gauge(tableDesc, c.Admitted.Learned, "learned")
}
