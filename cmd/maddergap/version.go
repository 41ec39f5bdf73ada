package main

import (
	"fmt"
	"runtime/debug"
)

// versionCmd prints the version of the program.
type versionCmd struct{}

// Run prints the version and, if known, the VCS revision from which the program was built.
func (versionCmd) Run(io *streams) error {
	version, revision := "(devel)", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		if info.Main.Version != "" {
			version = info.Main.Version
		}
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = " " + setting.Value
			}
		}
	}
	fmt.Fprintf(io.out, "maddergap %s%s\n", version, revision)
	return nil
}
