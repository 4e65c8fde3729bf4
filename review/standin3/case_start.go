package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["start"] = startCase }

// startWait is how long the operator sends the first config.
const startWait = 50 * time.Second

// startKills are the kills of all processes of the core, each back within a second, from the start of
// the system on.
var startKills = []struct{ at, back time.Duration }{
	{30 * time.Millisecond, 980 * time.Millisecond},
	{1010 * time.Millisecond, 1990 * time.Millisecond},
}

// startCase starts a system and sends it its first config. In trouble, all processes of the core are
// killed twice in the first seconds.
func startCase(rec *record, trouble bool) error {
	begin := time.Now()
	s, err := prepare(rec, 0)
	if err != nil {
		return err
	}
	core := append(append([]*machineProcess{}, s.stores...), s.standbys...)
	for _, k := range startKills {
		if !trouble {
			break
		}
		time.Sleep(time.Until(begin.Add(k.at)))
		for _, m := range core {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range core {
			m.kill()
		}
		rec.add("platform: all processes of the core were killed")
		time.Sleep(time.Until(begin.Add(k.back)))
		for _, m := range core {
			if err := m.start(false); err != nil {
				return err
			}
		}
	}
	config := map[string]any{"version": 1, "routes": []any{}, "services": []any{}, "limits": limits()}
	calls := 0
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, address := range s.controls() {
			calls++
			status := post("http://"+address+"/api/Config.Replace", config)
			if status == http.StatusOK {
				rec.add("operator: the first config was acknowledged by %s, at call %d", address, calls)
				return nil
			}
			if calls%30 == 1 {
				rec.add("operator: status %d from %s, at call %d", status, address, calls)
			}
		}
	}
	rec.add("judge: no node has acknowledged the first config in %s, %d calls", startWait, calls)
	if !trouble {
		return errors.New("the system does not start")
	}
	return fmt.Errorf("%w: Fault: the system does not serve: its first config was not acknowledged in %s", errBroken, startWait)
}
