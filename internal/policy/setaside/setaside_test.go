package setaside

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRemove(t *testing.T) {
	copies := []Copy{{"2", 10}, {"3", 10}, {"1", 5}}
	for _, c := range []struct {
		disk Disk
		want []Copy
	}{
		{Disk{Bytes: 100}, nil},
		{Disk{Bytes: 99}, []Copy{{"1", 5}}},
		{Disk{Bytes: 79}, []Copy{{"1", 5}, {"2", 10}}},
		{Disk{Bytes: 39}, []Copy{{"1", 5}, {"2", 10}}},
		{Disk{}, []Copy{{"1", 5}, {"2", 10}}},
		{Disk{Bytes: 1000, Full: true}, []Copy{{"1", 5}, {"2", 10}, {"3", 10}}},
	} {
		got := Remove(copies, c.disk)
		assert.Equal(t, len(got), len(c.want), "%+v: %v", c.disk, got)
		for i := range got {
			assert.Equal(t, got[i], c.want[i], "%+v", c.disk)
		}
	}
}

// TestDiskThatDamagesDataAgainAndAgainHasRoom replays a disk of 300 MB whose data of 60 MB is damaged
// twenty times.
func TestDiskThatDamagesDataAgainAndAgainHasRoom(t *testing.T) {
	const mb = 1 << 20
	var copies []Copy
	for i := range 20 {
		copies = append(copies, Copy{Name: fmt.Sprintf("%03d", i), Bytes: 60 * mb})
		copies = copies[len(Remove(copies, Disk{Bytes: 300 * mb})):]
		assert.Equal(t, len(copies), 1)
		assert.Equal(t, copies[0].Name, fmt.Sprintf("%03d", i))
	}
}
