// The case: the viewers' connection to a front node is reset in a quiet time, and replaced by a new one. Then the sessions end.
package main

import (
	"fmt"
	"time"

	"rainhaven/review/standin"
)

func main() { standin.Run(run) }

// limit is the time within which a server's release has to reach the viewers: 1 s, and 50 ms as for every limit. graceLimit is
// the longest time that the pages know for a release, and latest how long the case waits for one.
const limit, graceLimit, latest = 1.05, 8.05, 14.0

func run(c *standin.Case) (broken []string, err error) {
	var servers []*standin.Server
	var list []standin.Instance
	for i := range 4 {
		s, err := standin.NewServer(fmt.Sprintf("s-%d", i+1), i, c.Record)
		if err != nil {
			return nil, err
		}
		servers, list = append(servers, s), append(list, s.Entry("up", 0))
	}
	k, err := standin.NewCoordinator(c.Record, list...)
	if err != nil {
		return nil, err
	}
	_, addr, viewers, err := c.StartNode(k, standin.NodeSettings(), 256, list)
	if err != nil {
		return nil, err
	}
	const facts = "home:0;copies:4;top:3;viewer:00000000b4d65521"
	ids := []string{"a000000000000001", "a000000000000002", "a000000000000003"}
	at := map[string]*standin.Server{}
	for _, id := range ids {
		viewers.Setup(id, "free", "7f3a9c21e0b4d655", 3*time.Second, facts)
		if status := viewers.AwaitStatus(id, 4*time.Second); status != 200 {
			return nil, fmt.Errorf("session %s was answered %d", id, status)
		}
		for _, s := range servers {
			if s.Stands(id) {
				at[id] = s
			}
		}
	}
	time.Sleep(time.Second)
	if c.Trouble {
		viewers.Reset()
	}
	second, err := standin.NewFront(addr, "viewers2", c.Record)
	if err != nil {
		return nil, err
	}
	tests := 0
	pause := func(seconds float64) { // with a test each second, so that the connection is in use
		for end := c.Seconds() + seconds; c.Seconds() < end; time.Sleep(500 * time.Millisecond) {
			if int(c.Seconds()) != tests {
				tests = int(c.Seconds())
				second.Test()
			}
		}
	}
	pause(1)
	// The new connection names the sessions that stand, as a front may do with what the node already holds.
	for _, id := range ids {
		second.Handover(id, "free", "7f3a9c21e0b4d655", at[id].ID, facts)
	}
	pause(1)
	releasedAt := map[string]float64{}
	for _, id := range ids {
		releasedAt[id] = c.Seconds()
		if !at[id].Release(id, 16) {
			return nil, fmt.Errorf("%s could not send its release", at[id].ID)
		}
	}
	pause(latest)
	if second.Closed() || second.Tests() < 10 {
		return nil, fmt.Errorf("the second connection is not in use")
	}
	for _, id := range ids {
		heard := max(viewers.ReleasedAt(id), second.ReleasedAt(id))
		switch after := heard - releasedAt[id]; {
		case heard == 0:
			broken = append(broken, fmt.Sprintf("session %s: released by its server at %.3f, and no release came to the viewers within %.0f s (%.2f s are allowed, %.2f s where none could be sent)",
				id, releasedAt[id], latest, limit, graceLimit))
		case after > limit:
			broken = append(broken, fmt.Sprintf("session %s: its release came after %.3f s", id, after))
		default:
			c.Add("session %s: its release came after %.3f s", id, after)
		}
	}
	return broken, nil
}
