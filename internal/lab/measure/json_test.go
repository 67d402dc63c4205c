package measure

import (
	"encoding/json"
	"testing"
)

// TestRowJSON guards the field names that `rainhaven measure --json` writes: scripts read them, so a renamed Go field must
// keep its name in JSON.
func TestRowJSON(t *testing.T) {
	row := Row{Build: "b", Sessions: 1, DirectP50: 2, DirectP99: 3, FrontP50: 4, FrontP99: 5, FrontP999: 6, HeapBytesPerSession: 7, RSSBytesPerSession: 8,
		AllocsPerSetup: 9, MeanSettleMicros: 10, DirectMBps: 11, FrontMBps: 12, ThroughputRatio: 13, MinThroughputRatio: 14, MaxThroughputRatio: 15, SettingsReloads: 16, FramesPerSecond: 17}
	const want = `[{"Build":"b","Sessions":1,"DirectP50":2,"DirectP99":3,"FrontP50":4,"FrontP99":5,"FrontP999":6,"HeapPerSession":7,` +
		`"RSSPerSession":8,"Allocations":9,"SettleMean":10,"DirectMB":11,"FrontMB":12,"Ratio":13,"RatioLow":14,"RatioHigh":15,` +
		`"Renewals":16,"Frames":17}]`
	if got, err := json.Marshal([]Row{row}); err != nil || string(got) != want {
		t.Errorf("rows are written as\n%s, %v\nwant\n%s", got, err, want)
	}
}
