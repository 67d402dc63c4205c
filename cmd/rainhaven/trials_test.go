//go:build !trials

package main

import "testing"

// Builds without the tag trials, which operators run, must not have a flag or a command that breaks a rule or injects
// network failures.
func TestNoFaultInjectionWithoutTrialsTag(t *testing.T) {
	for _, c := range rootCommand().Commands() {
		if c.Name() == "soak" {
			t.Error("the command soak exists in a build without the tag trials")
		}
		if c.Name() != "node" {
			continue
		}
		for _, flag := range []string{"sabotage", "clock-offset", "network-faults"} {
			if c.Flags().Lookup(flag) != nil {
				t.Errorf("node has the flag --%s in a build without the tag trials", flag)
			}
		}
	}
}
