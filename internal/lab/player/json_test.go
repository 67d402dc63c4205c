package player

import (
	"encoding/json"
	"testing"
)

// TestResultJSON guards the field names that `rainhaven play --json` writes: scripts read them, so a renamed Go field must
// keep its name in JSON, also where the result is embedded in the command's own object.
func TestResultJSON(t *testing.T) {
	result := Result{Status: 1, RetryAfter: 2, AnswerSeconds: 3, FirstFrameSeconds: 4, Frames: 5, Bytes: 6, LostPackets: 7, RepeatedPackets: 8, TimestampJumps: 9, MaxFrameGap: 10,
		MediaSeconds: 11, PlayedSeconds: 12, RungChanges: 13, LastRung: 14, Ended: true, Interrupted: true, RedirectedTo: "host"}
	const fields = `"Status":1,"RetryAfter":2,"AnswerIn":3,"FirstFrame":4,"Frames":5,"Bytes":6,"Lost":7,"Doubled":8,"Jumps":9,` +
		`"WorstGap":10,"Media":11,"Played":12,"Rungs":13,"Rung":14,"Ended":true,"Broke":true,"SentTo":"host"`
	embedded := struct {
		Result
		DeliveredShare float64
		Error          string `json:",omitempty"`
	}{result, 15, "e"}
	for _, c := range []struct {
		value any
		want  string
	}{{result, "{" + fields + "}"}, {embedded, "{" + fields + `,"DeliveredShare":15,"Error":"e"}`}} {
		if got, err := json.Marshal(c.value); err != nil || string(got) != c.want {
			t.Errorf("%T is written as\n%s, %v\nwant\n%s", c.value, got, err, c.want)
		}
	}
}
