package review

import (
	"os"
	"os/exec"
	"testing"
)

// TestSecondReview builds the stand-ins of the second review and runs the scripts of its cases. It runs only with
// SECOND_REVIEW=1 in the environment. A script that exits with 1 shows that a rule was broken.
func TestSecondReview(t *testing.T) {
	if os.Getenv("SECOND_REVIEW") != "1" {
		t.Skip("runs only with SECOND_REVIEW=1")
	}
	if output, err := exec.Command("./build-2.sh").CombinedOutput(); err != nil {
		t.Fatalf("build-2.sh: %v: %s", err, output)
	}
	for _, name := range []string{"6", "7", "8", "9", "10"} {
		t.Run(name, func(t *testing.T) {
			if err := exec.Command("./" + name + "/run.sh").Run(); err != nil {
				t.Errorf("case %s: %v; see its record.txt", name, err)
			}
		})
	}
}
