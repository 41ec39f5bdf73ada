package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// reloadConfig is the configuration of a head of its own, after the demo's. Its arguments are the address to listen on
// and the lines of the volumes.
const reloadConfig = `listen %s
clients 256
nodes nodes.list
log-requests no
class read effect safe aim 150ms deadline 2s worth 2 late 0.2
class write effect unsafe aim 300ms deadline 5s worth 2 late 0.2
plan standard rate 200 reserve 100 weight 1
%sroute GET,HEAD,PROPFIND class read
route * class write
units bytes 64k mean 1 most 64
retry-after 1s
`

// Lines of volumes.
const (
	volumeA = "volume feed-a plan standard shards 0-1\n"
	volumeB = "volume feed-b plan standard shards 0-1\n"
	// volumeNew has its data on one node.
	volumeNew = "volume feed-0 plan standard shards 0\n"
)

// reloadRun is the state of a case with a head of its own, whose configuration changes.
type reloadRun struct {
	rec      *record
	dir      string
	head     *process
	nodes    []*process
	addr     string
	answered atomic.Int64 // requests with a final answer
	lost     atomic.Int64 // requests that the head had taken and that have none
	stop     atomic.Bool
}

// reloadCase: a volume joins, and the change is rolled back while clients list the volume.
func reloadCase(rec *record, trouble bool) (verdict, error) {
	return withHead(rec, volumeA, func(m *reloadRun, file string) (verdict, error) { return m.playRollback(file, trouble) })
}

// joinCase: a volume joins while a client lists another.
func joinCase(rec *record, trouble bool) (verdict, error) {
	return withHead(rec, volumeB, func(m *reloadRun, file string) (verdict, error) { return m.playJoin(file, trouble) })
}

// mistakeCase: a head reads a configuration with a mistake.
func mistakeCase(rec *record, trouble bool) (verdict, error) {
	return withHead(rec, volumeA, func(m *reloadRun, file string) (verdict, error) { return m.playMistake(file, trouble) })
}

// withHead starts two nodes and a head with the volumes, and plays a case on them.
func withHead(rec *record, volumes string, play func(m *reloadRun, file string) (verdict, error)) (verdict, error) {
	dir, err := os.MkdirTemp("", "second-")
	if err != nil {
		return cannotRun, err
	}
	defer os.RemoveAll(dir)
	run := &reloadRun{rec: rec, dir: dir}
	var list strings.Builder
	for shard := range 2 {
		addr, err := freeAddr()
		if err != nil {
			return cannotRun, err
		}
		name := fmt.Sprintf("n%d", shard)
		node, err := startProcess(dir, name, fmt.Sprintf("exec bin/maddergap node --listen %s --name %s --unit-time 20ms --record %s", addr, name, filepath.Join(dir, name+".ran")))
		if err != nil {
			return cannotRun, err
		}
		defer node.kill()
		run.nodes = append(run.nodes, node)
		fmt.Fprintf(&list, "node %s %s shard %d state serving\n", name, addr, shard)
	}
	if err := os.WriteFile(filepath.Join(dir, "nodes.list"), []byte(list.String()), 0o644); err != nil {
		return cannotRun, err
	}
	if run.addr, err = freeAddr(); err != nil {
		return cannotRun, err
	}
	file := filepath.Join(dir, "head.conf")
	if err := run.configure(file, volumes); err != nil {
		return cannotRun, err
	}
	if run.head, err = startProcess(dir, "head", "exec bin/maddergap serve --config "+file); err != nil {
		return cannotRun, err
	}
	defer run.head.kill()
	if err := run.waitServing(); err != nil {
		return cannotRun, err
	}
	defer run.addNodeRecords()
	return play(run, file)
}

// addNodeRecords adds what the nodes have run. They write the rest of it when they are told to end.
func (m *reloadRun) addNodeRecords() {
	for _, node := range m.nodes {
		node.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-node.ended:
		case <-time.After(3 * time.Second):
		}
	}
	for _, name := range []string{"n0", "n1"} {
		text, _ := os.ReadFile(filepath.Join(m.dir, name+".ran"))
		for line := range strings.Lines(string(text)) {
			m.rec.add("%s ran: %s", name, strings.TrimSpace(line))
		}
	}
}

// configure replaces the configuration file by a rename.
func (m *reloadRun) configure(file, volumes string) error {
	if err := os.WriteFile(file+".new", fmt.Appendf(nil, reloadConfig, m.addr, volumes), 0o644); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// reload replaces the configuration file and has the head read it, as an operator does.
func (m *reloadRun) reload(file, volumes, what string) error {
	if err := m.configure(file, volumes); err != nil {
		return err
	}
	m.rec.add("operator: %s, SIGHUP", what)
	return m.head.command.Process.Signal(syscall.SIGHUP)
}

// waitServing waits until the head answers.
func (m *reloadRun) waitServing() error {
	for range 500 {
		if status, _, err := m.exchange(http.MethodOptions, "/", "", 0); err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("the head does not serve: %s", m.head.log())
}

// playRollback lists the second volume, with its change rolled back meanwhile, while others write to the first.
func (m *reloadRun) playRollback(file string, trouble bool) (verdict, error) {
	finish, err := m.startWriters()
	if err != nil {
		return cannotRun, err
	}
	if err := m.reload(file, volumeA+volumeB, "feed-b joins"); err != nil {
		return cannotRun, err
	}
	time.Sleep(time.Second)
	if status, _, err := m.list(0); err != nil || status != http.StatusMultiStatus {
		return cannotRun, fmt.Errorf("feed-b is not served after it has joined: %d, %v", status, err)
	}
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		m.list(time.Second)
	}()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := m.reload(file, volumeA, "the change is rolled back"); err != nil {
			return cannotRun, err
		}
	}
	<-listed
	return finish(), nil
}

// playMistake has the head read a file with a mistake, while clients write. The file has to be rejected.
func (m *reloadRun) playMistake(file string, trouble bool) (verdict, error) {
	finish, err := m.startWriters()
	if err != nil {
		return cannotRun, err
	}
	line := "processes 1\n"
	if trouble {
		line = "processes 0\n" // the directive takes 1 to 256
	}
	if err := m.reload(file, volumeA+line, "the file has the line "+strings.TrimSpace(line)); err != nil {
		return cannotRun, err
	}
	return finish(), nil
}

// startWriters starts six clients that write to the first volume, and waits a second. finish waits two more, ends the
// clients, and tells whether the head still runs and has answered all.
func (m *reloadRun) startWriters() (finish func() verdict, err error) {
	if status, _, err := m.exchange("MKCOL", "/feed-a/station-0/", "", 0); err != nil || status != http.StatusCreated {
		return nil, fmt.Errorf("MKCOL: %d, %v", status, err)
	}
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() { m.writeSegments(i) })
	}
	time.Sleep(time.Second)
	return func() verdict {
		time.Sleep(2 * time.Second)
		m.stop.Store(true)
		clients.Wait()
		m.rec.add("requests with a final answer: %d, without one: %d", m.answered.Load(), m.lost.Load())
		if m.head.hasEnded() {
			log := m.head.log()
			if i := strings.Index(log, "panic:"); i >= 0 {
				log = log[i:min(len(log), i+1200)]
			}
			m.rec.add("the head has ended: %v: %s", m.head.err, log)
			return broken
		}
		if m.lost.Load() > 0 {
			return broken
		}
		return held
	}, nil
}

// playJoin makes stations on the volume, and lists it while another volume joins. The listing has to name all stations.
func (m *reloadRun) playJoin(file string, trouble bool) (verdict, error) {
	const stations = 24
	for i := range stations {
		if status, _, err := m.exchange("MKCOL", fmt.Sprintf("/feed-b/station-%02d/", i), "", 0); err != nil || status != http.StatusCreated {
			return cannotRun, fmt.Errorf("MKCOL: %d, %v", status, err)
		}
	}
	status, answer, err := m.list(0)
	if n := countStations(answer, stations); err != nil || status != http.StatusMultiStatus || n != stations {
		return cannotRun, fmt.Errorf("the first listing: %d with %d of %d stations, %v", status, n, stations, err)
	}
	if trouble {
		time.AfterFunc(500*time.Millisecond, func() { m.reload(file, volumeNew+volumeB, "feed-0 joins") })
	}
	status, answer, err = m.list(time.Second)
	n := countStations(answer, stations)
	m.rec.add("the listing names %d of %d stations, with status %d, error %v", n, stations, status, err)
	if err != nil || status == http.StatusMultiStatus && n != stations {
		return broken, nil
	}
	status, answer, err = m.list(0)
	m.rec.add("the next listing names %d of %d stations, with status %d, error %v", countStations(answer, stations), stations, status, err)
	return held, nil
}

// countStations returns how many of the stations a listing names.
func countStations(listing string, stations int) (n int) {
	for i := range stations {
		if strings.Contains(listing, fmt.Sprintf("/feed-b/station-%02d/", i)) {
			n++
		}
	}
	return n
}

// list lists the second volume with a PROPFIND whose body follows its header after the pause.
func (m *reloadRun) list(pause time.Duration) (status int, answer string, err error) {
	body := `<?xml version="1.0" encoding="utf-8"?><D:propfind xmlns:D="DAV:"><D:prop><D:resourcetype/></D:prop></D:propfind>`
	return m.exchange("PROPFIND", "/feed-b/", body, pause)
}

// writeSegments writes one segment after the other to the first volume.
func (m *reloadRun) writeSegments(client int) {
	for n := 0; !m.stop.Load() && !m.head.hasEnded(); n++ {
		m.exchange(http.MethodPut, fmt.Sprintf("/feed-a/station-0/segment-%d-%d", client, n), "samples", 0)
	}
}

// exchange sends a request over a connection of its own and reads the answer. The body, if there is one, follows the
// header after the pause.
func (m *reloadRun) exchange(method, path, body string, pause time.Duration) (status int, answer string, err error) {
	c, err := net.Dial("tcp", m.addr)
	if err != nil {
		return 0, "", err // the head is not there: nothing was taken
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	header := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nDepth: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", method, path, m.addr, len(body))
	if pause > 0 {
		m.rec.add("client: the header of %s %s; the body follows in %v", method, path, pause)
		if _, err := io.WriteString(c, header); err != nil {
			return 0, "", err
		}
		time.Sleep(pause)
		header = ""
	}
	if _, err = io.WriteString(c, header+body); err != nil {
		return 0, "", err
	}
	m.rec.add("client: has sent %s %s", method, path)
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	var text []byte
	if err == nil {
		text, err = io.ReadAll(response.Body)
	}
	if err != nil {
		m.lost.Add(1)
		m.rec.add("client: %s %s was taken and has no answer: %v", method, path, err)
		return 0, "", err
	}
	m.answered.Add(1)
	m.rec.add("client: %s %s: %d", method, path, response.StatusCode)
	return response.StatusCode, string(text), nil
}
