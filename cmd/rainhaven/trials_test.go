//go:build !trials

package main

import "testing"

// The program that operators run has no flag and no command that breaks a rule or has its network fail.
func TestNoTrialsWithoutTheirTag(t *testing.T) {
	for _, c := range command().Commands() {
		if c.Name() == "soak" {
			t.Error("there is a command soak")
		}
		if c.Name() != "node" {
			continue
		}
		for _, flag := range []string{"sabotage", "clock-offset", "network-faults"} {
			if c.Flags().Lookup(flag) != nil {
				t.Errorf("node has the flag --%s", flag)
			}
		}
	}
}
