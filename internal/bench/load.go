package bench

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// readBufferSize is that of a client's connection, in bytes.
const readBufferSize = 16 << 10

// sample is the result of one measurement.
type sample struct {
	served   int64
	rejected int64                   // responses of status 503, expected in overload only
	latency  *hdrhistogram.Histogram // of served requests, in microseconds
	cpu      time.Duration           // that the measured process used
	elapsed  time.Duration
}

func newSample() *sample { return &sample{latency: newHistogram()} }

// add adds the requests of one client.
func (s *sample) add(client *sample) {
	s.served += client.served
	s.rejected += client.rejected
	s.latency.Merge(client.latency)
}

// servedPerCPUSecond is requests served in a second of CPU time.
func (s *sample) servedPerCPUSecond() float64 { return float64(s.served) / s.cpu.Seconds() }

// servedPerSecond is requests served in a second.
func (s *sample) servedPerSecond() float64 { return float64(s.served) / s.elapsed.Seconds() }

// rejectedPerSecond is requests rejected in a second.
func (s *sample) rejectedPerSecond() float64 { return float64(s.rejected) / s.elapsed.Seconds() }

// cpuMicrosPerRequest is the CPU time of a served request, in microseconds.
func (s *sample) cpuMicrosPerRequest() float64 { return 1e6 / s.servedPerCPUSecond() }

// pathFunc is the path of a client's request; both are numbered from 0.
type pathFunc func(client, request int) string

// smallObject is the path of the object that most measurements read.
const smallObject = "/feed/x"

func smallObjectPath(int, int) string { return smallObject }

// load has clients read from a process for a duration, each over a kept-alive connection with one
// request after the other. The error is that of the first client that failed, if any.
func (p *process) load(clients int, duration time.Duration, path pathFunc) (*sample, error) {
	cpuBefore, err := p.cpuTime()
	if err != nil {
		return nil, err
	}
	total := newSample()
	var (
		running   sync.WaitGroup
		mu        sync.Mutex // guards total and clientErr
		clientErr error
	)
	startedAt := time.Now()
	for client := range clients {
		running.Go(func() {
			result, err := runClient(p.addr, startedAt.Add(duration), func(request int) string { return path(client, request) })
			mu.Lock()
			defer mu.Unlock()
			total.add(result)
			if clientErr == nil {
				clientErr = err
			}
		})
	}
	running.Wait()
	total.elapsed = time.Since(startedAt)
	cpuAfter, err := p.cpuTime()
	total.cpu = cpuAfter - cpuBefore
	return total, errors.Join(err, clientErr)
}

// runClient is one client of load. It returns what it measured also with an error.
func runClient(addr string, until time.Time, path func(request int) string) (*sample, error) {
	result := newSample()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return result, err
	}
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, readBufferSize)
	for request := 0; time.Now().Before(until); request++ {
		startedAt := time.Now()
		resp, err := get(conn, reader, path(request))
		if err != nil {
			return result, err
		}
		switch resp.StatusCode {
		case http.StatusOK:
			result.served++
			result.latency.RecordValue(time.Since(startedAt).Microseconds())
		case http.StatusServiceUnavailable:
			result.rejected++
		default:
			return result, fmt.Errorf("response %s", resp.Status)
		}
	}
	return result, nil
}

// get requests a path and reads the complete response, whose body is discarded.
func get(conn net.Conn, reader *bufio.Reader, path string) (*http.Response, error) {
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
