// Command second plays the cases of the second review: it starts a head, puts stand-ins of clients, shelfs and
// the platform around it, and checks one rule. It is called by the scripts review/N/run.sh, from the root:
//
//	second CASE RECORD
//
// RECORD is the file that gets what was sent, answered and run. The exit code is 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. With TROUBLE=0 in the environment, the case leaves its disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// maxRun is how long a case may take.
const maxRun = 110 * time.Second

// verdict is the result of a case, and the exit code.
type verdict int

const (
	held      verdict = 0
	broken    verdict = 1
	cannotRun verdict = 2
)

func (v verdict) String() string { return [...]string{"held", "broken", "could not run"}[v] }

// cases are the cases by name. Each writes what happens to the record. An error means that it could not run.
var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"memory":  memoryCase,
	"reload":  reloadCase,
	"join":    joinCase,
	"mistake": mistakeCase,
	"leave":   leaveCase,
}

// init keeps main on the main thread; see startProcess.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		os.Exit(int(cannotRun))
	}
	go endEarly()
	rec := newRecord()
	result, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
		result = cannotRun
	}
	rec.add("result: the rule %v", result)
	if err := rec.write(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		result = cannotRun
	}
	os.Exit(int(result))
}

// endEarly ends the script and its processes at a signal, or when a case takes too long.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxRun):
	}
	killStarted()
	os.Exit(int(cannotRun))
}
