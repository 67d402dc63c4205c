package choice

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// State files and upgrades carry a Snapshot as JSON. testdata/snapshot.json was written by a release whose Go names were
// the stored ones, with every field set; a field that lost its tag would be read as 0 and written under another name.
func TestSnapshotKeepsItsStoredNames(t *testing.T) {
	stored, err := os.ReadFile("testdata/snapshot.json")
	if err != nil {
		t.Fatal(err)
	}
	link := func(x float64) LinkSnapshot {
		return LinkSnapshot{NominalCapacity: x + 1, Capacity: x + 2, OtherDemand: x + 3, ReadAt: x + 4, OwnDemand: x + 5,
			ReportedLoad: x + 0.625, ReportedAt: x + 7, ShortfallDemand: x + 8, ShortfallAt: x + 9}
	}
	want := Snapshot{
		FirstSetups: []float64{1.5, 2.5}, Retries: []float64{3.5},
		Servers: []ServerSnapshot{{ID: 11, StartedAt: 12, Slot: 13, SlotSetups: 14, Ejected: true, FullUntil: 15,
			MeanGap: 16.25, GapDeviation: 17.5, LastHeardAt: 18, Link: link(100)}},
		Uplinks:  []LinkSnapshot{link(200), link(300)},
		MeanLoad: [2]float64{0.25, 0.75}, MeanLoadDemand: 4.5, RefilledAt: 5.5,
	}

	for _, v := range []any{want, want.Servers[0], want.Servers[0].Link} {
		for i, s := 0, reflect.ValueOf(v); i < s.NumField(); i++ {
			if s.Field(i).IsZero() {
				t.Errorf("%s.%s is not set in this test", s.Type(), s.Type().Field(i).Name)
			}
		}
	}

	var got Snapshot
	d := json.NewDecoder(bytes.NewReader(stored))
	d.DisallowUnknownFields()
	if err := d.Decode(&got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}

	written, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, bytes.TrimSpace(stored)) {
		t.Errorf("written as %s, stored as %s", written, stored)
	}
}
