package main

import (
	"fmt"
	"sync"
	"time"
)

// versionsJoined has all workers of a service crash while streams run. They are back after half a second
// under the IDs that they had, with a newer version of their software, and send their first status report
// 0.3 s after they listen.
func versionsJoined(env *environment) error {
	const events, gap, down, reportDelay = 14, 200 * time.Millisecond, 500 * time.Millisecond, 300 * time.Millisecond
	s, err := startStreams(env, []string{"huvo11a"}, events, gap, streamRoute{prefix: "/lohu930/", backend: "huvo11a", resumable: true})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	turns := streamTurns("/lohu930/2f", takeUpStreams, events, true)
	var restartErr error
	list := s.playStreams(turns, 1200*time.Millisecond, func() {
		if !env.trouble {
			return
		}
		for _, w := range s.workers {
			w.crash()
		}
		time.Sleep(down)
		var starts sync.WaitGroup
		var mu sync.Mutex
		for _, w := range s.workers {
			starts.Go(func() {
				if err := w.restart("v1.1", reportDelay); err != nil {
					mu.Lock()
					restartErr = err
					mu.Unlock()
				}
			})
		}
		starts.Wait()
	})
	if restartErr != nil {
		return restartErr
	}
	joined, whole, example := 0, 0, ""
	for _, k := range list {
		versions := k.first.versions
		if k.again != nil {
			versions = append(versions, k.again.versions...)
		}
		last := k.first
		if k.again != nil {
			last = k.again
		}
		if last.wholeAt(events) {
			whole++
		}
		if distinct(versions) < 2 {
			continue
		}
		joined++
		example = fmt.Sprintf("request %s: events of %v", k.first.id, versions)
		env.record.add("check: joined from two versions: %s", example)
	}
	env.record.add("check: %d of %d streams hold events of two versions, %d ended whole", joined, len(list), whole)
	fmt.Printf("%d of %d streams hold events of two versions, %d ended whole\n", joined, len(list), whole)
	const allowed = 2
	if joined > allowed {
		return fmt.Errorf("%w: ORDER: %d streams hold events from workers of two versions: %s", errBroken, joined, example)
	}
	return nil
}

func distinct(versions []string) int {
	seen := make(map[string]bool)
	for _, v := range versions {
		seen[v] = true
	}
	return len(seen)
}
