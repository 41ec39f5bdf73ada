package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// everyDirective is a good file with most directives.
const everyDirective = `listen 127.0.0.1:8080
nodes nodes.list
heads 8
processes 2
seed 7
clients 100
node-connections 64
requests 1000
buffer 64k
buffers 16m
listing-max 1m
sizes 1024
header bytes 8k target 2k fields 50
header-time 5s
idle-time 30s
stall-time 5s
stop-time 5s
answer-margin 20ms
class read effect safe aim 100ms deadline 1s worth 2 late 0.5
class write effect keyed window 1s aim 100ms deadline 1s
plan standard rate 100 reserve 50 limit 200 burst 400
volume feed-a plan standard shards 0-3 heads 4
route GET class read
route * class write
units bytes 64k mean 1 most 16
budget free 1 share 0.1 over 10s
cold for 10s from 0.2 units 4 window 1s multiple 2
body hold 64k rate 1m
pace body 100 answer 1000 after 30s
admit reserve 10 address 20 wide 40
attempts 4
retry-after 1s
`

// mistakesOf returns the mistakes of a file.
func mistakesOf(text string) (mistakes []*Error) {
	_, err := Parse("file", []byte(text))
	if err == nil {
		return nil
	}
	for _, e := range unwrapJoined(err) {
		var mistake *Error
		if errors.As(e, &mistake) {
			mistakes = append(mistakes, mistake)
		}
	}
	return mistakes
}

// Regression test: a number out of its range left 0 in the configuration, from which checks of several lines
// derived other values. "processes 0" ended the process that read the file, also at a reload. Each word of
// each line is replaced by values that are out of range or of another kind: nothing panics, and a mistaken
// last value is said for its own line first.
func TestMistakenValues(t *testing.T) {
	if mistakes := mistakesOf(everyDirective); mistakes != nil {
		t.Fatalf("the file has mistakes: %v", mistakes)
	}
	lines := strings.Split(strings.TrimSpace(everyDirective), "\n")
	for i, line := range lines {
		words := strings.Fields(line)
		for w := 1; w < len(words); w++ {
			for _, value := range []string{"0", "-1", "x", "99999999999999999999", "1e308", "0s", "0k", "%", "two"} {
				changed := append(append([]string{}, words[:w]...), value)
				changed = append(changed, words[w+1:]...)
				text := strings.Join(append(append(append([]string{}, lines[:i]...), strings.Join(changed, " ")), lines[i+1:]...), "\n")
				mistakes := mistakesOf(text)
				if len(mistakes) > 0 && !repeatable[words[0]] && w == len(words)-1 && mistakes[0].Line != i+1 {
					t.Errorf("line %d is %q; the mistakes are %v, want the first for that line", i+1, strings.Join(changed, " "), mistakes)
				}
			}
		}
	}
}

// Verifies that a mistake is said once, and not again as what follows from it.
func TestMistakeIsSaidOnce(t *testing.T) {
	for _, c := range []struct{ from, to string }{
		{"processes 2", "processes 0"},
		{"processes 2", "processes x"},
		{"processes 2", "processes"},
		{"heads 8", "heads 0"},
		{"clients 100", "clients -1"},
		{"nodes nodes.list", "nodes"},
		{"buffers 16m", "buffers 0"},
		{"sizes 1024", "sizes 0"},
		{"over 10s", "over 0s"},
		{"units bytes 64k", "units bytes 0"},
		{"header bytes 8k", "header bytes 0"},
		{"admit reserve 10", "admit reserve x"},
	} {
		t.Run(c.to, func(t *testing.T) {
			line := 1 + strings.Count(everyDirective[:strings.Index(everyDirective, c.from)], "\n")
			mistakes := mistakesOf(strings.Replace(everyDirective, c.from, c.to, 1))
			if len(mistakes) != 1 || mistakes[0].Line != line {
				t.Errorf("the mistakes are %v, want one in line %d", fmt.Sprint(mistakes), line)
			}
		})
	}
}
