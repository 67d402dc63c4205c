package share

import "testing"

// Viewers, servers and what the program keeps fit into every limit that machines have.
func TestDescriptors(t *testing.T) {
	for sockets := 64; sockets <= 1024; sockets += 64 {
		for servers := 1; servers <= 20; servers++ {
			if all := Viewers(sockets) + servers*PerServer(sockets, servers) + 5; all > sockets {
				t.Errorf("%d descriptors, %d servers: %d held", sockets, servers, all)
			}
		}
		if 3*Viewers(sockets) <= sockets {
			t.Errorf("%d descriptors: usual viewers may hold a third", sockets)
		}
	}
}

func TestWhoGivesWay(t *testing.T) {
	const now = 100
	order := []Holding{{Since: 99}, {Spoke: true}, {Spoke: true, Asked: true}, {Since: now}, {Spoke: true, Asked: true, Standing: 1}}
	for i := 1; i < len(order); i++ {
		if order[i-1].Rank(now) >= order[i].Rank(now) {
			t.Errorf("%+v does not go before %+v", order[i-1], order[i])
		}
	}
	if (Holding{Spoke: true, Open: 1}).Rank(now) >= 0 {
		t.Error("one that is owed an answer gives way")
	}
}
