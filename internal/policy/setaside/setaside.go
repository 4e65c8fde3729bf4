// Package setaside decides which copies of damaged data stay on a disk. It answers a disk that damages
// data again and again: copies that are all kept fill it, and the replicas that are fetched from other
// hosts have no room.
package setaside

import (
	"cmp"
	"slices"
)

// diskShare is the part of the disk that the copies may take together.
const diskShare = 4

// Copy is one copy of damaged data.
type Copy struct {
	Name  string // names sort by age
	Bytes int64
}

// Disk is the disk that holds the copies.
type Disk struct {
	Bytes int64 // size; 0: not known
	Full  bool  // it has refused a write
}

// Remove returns the copies that must be removed, the oldest first. On a full disk these are all of
// them. Else the newest one stays, and further ones with which they take at most a share of the disk.
func Remove(copies []Copy, disk Disk) []Copy {
	newestFirst := slices.SortedFunc(slices.Values(copies), func(a, b Copy) int { return cmp.Compare(b.Name, a.Name) })
	kept, used := 0, int64(0)
	for _, c := range newestFirst {
		used += c.Bytes
		if disk.Full || kept > 0 && used > disk.Bytes/diskShare {
			break
		}
		kept++
	}
	removed := newestFirst[kept:]
	slices.Reverse(removed)
	return removed
}
