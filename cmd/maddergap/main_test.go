package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// asProgram is the environment variable that makes the test binary behave as the program, so that tests
// can start the program as a process.
const asProgram = "MADDERGAP_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) == "1" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// program returns a command that runs the program as a process with these arguments.
func program(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	return cmd
}

// Verifies the exit codes that operators' scripts rely on: 0 for success, 1 for a failure, 2 for a
// mistake in the command line. Also verifies that output and errors go to the right stream.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return file
	}
	validConf := fmt.Sprintf(demoConf, "127.0.0.1:0", 1, 1)
	write("nodes.list", "node n0 127.0.0.1:1 shard 0 state serving\nnode n1 127.0.0.1:2 shard 1 state serving\n")
	valid := write("fine.conf", validConf)
	invalid := write("bad.conf", strings.Replace(validConf, "effect unsafe", "effect wild", 1))
	missingShard := write("thin.conf", strings.Replace(validConf, "shards 0-1", "shards 0-2", 1))
	for _, c := range []struct {
		args string
		code int
		out  string
		err  string
	}{
		{"version", 0, "maddergap ", ""},
		{"--help", 0, "Usage: maddergap", ""},
		{"check --config " + valid, 0, "good; 2 volumes, 3 classes", ""},
		{"check --config " + invalid, 1, "", "bad.conf:6: class: effect is \"wild\""},
		{"check --config " + missingShard, 1, "", "no node has shard 2 of volume feed-a"},
		{"check --config " + filepath.Join(dir, "none"), 1, "", "no such file"},
		{"check", 2, "", "missing flags"},
		{"frobnicate", 2, "", "unexpected argument frobnicate"},
		{"demo --nodes 0", 2, "", "want 1 to 100"},
		{"demo --listen nowhere", 2, "", "is not an address and port"},
		{"badday --length 1ms", 2, "", "out of range"},
		{"scenario --length 1ms", 2, "", "out of range"},
		{"badday --story --seed 4", 0, "head 1: killed at", ""}, // the former name of scenario
		{"scenario --story --seed 4", 0, "head 1: killed at", ""},
		{"serve --config " + invalid, 1, "", "effect is \"wild\""},
	} {
		var out, errs bytes.Buffer
		if code := run(strings.Fields(c.args), &out, &errs); code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.err) {
			t.Errorf("%s: got code %d, standard output %.200q, standard error %.300q", c.args, code, out.String(), errs.String())
		}
	}
}
