// Package review holds the cases of an independent review: a folder for each with its claim and its script.
package review

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// caseCount is the number of cases, in the folders 1, 2 and so on.
const caseCount = 3

// Runs the cases if the environment has REVIEW_CASES=1, after the build of the deploy file. Each fails as long as
// its fault is there. It takes about two minutes; the scripts can also be run by themselves.
func TestCases(t *testing.T) {
	if os.Getenv("REVIEW_CASES") != "1" {
		t.Skip("the cases run only with REVIEW_CASES=1")
	}
	if out, err := exec.Command("sh", "build.sh").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for n := 1; n <= caseCount; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			out, err := exec.Command("sh", fmt.Sprintf("%d/run.sh", n)).CombinedOutput()
			if err != nil {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}
