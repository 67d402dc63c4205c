package soak

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// class is a class of requests and its terms.
type class struct {
	name       string
	sideEffect bool // must not be retried once an attempt may have run
	deadline   time.Duration
	floor      int
	seats      int // maximum sessions of a title on one node; 0 is unlimited
}

// classes lists the request classes of every soak.
var classes = []class{
	{name: "free", deadline: 1790 * time.Millisecond},
	{name: "paid", sideEffect: true, deadline: 1430 * time.Millisecond, floor: 1},
	{name: "seated", deadline: 1200 * time.Millisecond, seats: 2},
}

// The terms of every soak, as in the nodes' settings.
const (
	cells             = 12
	copies            = 4
	rungs             = 5
	drainGrace        = 250 * time.Millisecond // time in which a draining server may still get attempts
	warmUp            = 6 * time.Second
	coldCapacityShare = 0.4
	overloadFactor    = 3.0
	overloadTime      = time.Second
	serverCapacity    = 20
	retryBudgetShare  = 0.2
	retryBudgetBase   = 5.0
	retryBudgetWindow = 5 * time.Second
	maxDescriptors    = 256
	maxMemoryMB       = 64
)

// slowStartBudget returns how many attempts a server may get within overloadTime at a given age since its start.
func slowStartBudget(age time.Duration) float64 {
	share := coldCapacityShare + (1-coldCapacityShare)*min(age.Seconds()/warmUp.Seconds(), 1)
	n := overloadFactor * serverCapacity / warmUp.Seconds() * share * overloadTime.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// entry is a server's entry in the coordinator's list.
type entry struct {
	ID          string `json:"instanceId"`
	Addr        string `json:"hostPort"`
	Zone        string `json:"zone"`
	Kind        string `json:"machineType"`
	Cell        int    `json:"cell"`
	State       string `json:"lifecycle"`
	Weight      int    `json:"weight"`
	StartedAtMs int64  `json:"startedAtMs"`
}

// change is a numbered event from the coordinator.
type change struct {
	Index     int64     `json:"index"`
	Endpoints endpoints `json:"endpoints"`
}

type endpoints struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// nodeSeed returns the seed in a node's configuration.
func nodeSeed(node int) uint64 { return 0x9e3779b97f4a7c15 * uint64(node+1) }

// configuration returns a node's configuration file.
func configuration(listen, coordinator string, node, nodes int, snapshot change) ([]byte, error) {
	grades := []map[string]any{}
	var floors, tops, seats []int
	var scales []float64
	for _, c := range classes {
		effect := "pure"
		if c.sideEffect {
			effect = "side_effect"
		}
		grades = append(grades, map[string]any{"effect": effect, "goal_time": 1000000, "hard_limit": c.deadline.Microseconds(), "name": c.name, "worth": 1.0})
		floors, tops, seats, scales = append(floors, c.floor), append(tops, rungs-1), append(seats, c.seats), append(scales, 1)
	}
	return json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("n%d", node), "listen": listen, "coordinator": coordinator, "seed": fmt.Sprintf("%016x", nodeSeed(node)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": maxMemoryMB, "sockets": maxDescriptors},
		"known":  map[string]any{"index": snapshot.Index, "updates": []change{snapshot}},
		"settings": map[string]any{
			"balancers": nodes, "me": node, "zone": 0, "zones": []string{"a"}, "models": []string{"std"},
			"caps": map[string]any{"connect_timeout": 250000, "keepalive": 30000000, "most_tries": 4, "probes": true, "peers": false,
				"retry_after": false, "max_retry_after": 1000000, "streams_per_conn": 100},
			"family_info": map[string]any{"cabinets": 1, "cells": cells, "class_floor": floors, "class_scale": scales, "fleet_kb": 4e6, "guard": 0,
				"highest_rung": tops, "level_kb": []float64{247, 443, 793, 1419, 2541}, "live": []bool{false, false, false}, "places_by_kind": []int{serverCapacity},
				"seats": seats, "see": 361661, "shared_adds": 1.0, "told_every": 0, "uplink_kb": 4e6},
			"grades":    grades,
			"reporting": map[string]any{"fields": []string{"cpu", "x1"}, "source": "pull"},
			"rules": map[string]any{"cold": warmUp.Microseconds(), "counted_over": retryBudgetWindow.Microseconds(), "fall": overloadTime.Microseconds(),
				"overload_factor": overloadFactor, "repeat_ratio": retryBudgetShare, "spare_attempts": retryBudgetBase, "start_capacity": coldCapacityShare,
				"stop_sending_within": drainGrace.Microseconds()},
		},
	}, "", " ")
}
