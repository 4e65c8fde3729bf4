package main

import (
	"fmt"
	"net/http"
	"time"
)

// zonesInTurn loses one zone after the other, on a deployment that has to bear the loss of a zone: first
// one whose machines are down for some seconds, later one whose machines lose their disks.
func zonesInTurn(env *environment) error {
	d, err := newDeployment(env.program, env.dir, tolerance{machines: 1, zones: 1}, env.record)
	if err != nil {
		return err
	}
	defer d.close()
	// Two stores and two fronts in each zone.
	zones := make(map[string][]*process)
	var fronts []*process
	for i, zone := range zoneNames {
		for n := range 2 {
			zones[zone] = append(zones[zone], d.addStore(1+2*i+n, zone, n == 0))
		}
		front := d.addFront(11+2*i, zone)
		fronts = append(fronts, front, d.addFront(12+2*i, zone))
		zones[zone] = append(zones[zone], d.addStandby(front), front, fronts[len(fronts)-1])
	}
	if err := d.start(); err != nil {
		return err
	}
	const events, gap = 4, 50 * time.Millisecond
	services := []string{"huvo11a"}
	w, err := startWorker(d, 0, services[0], "v1", events, gap)
	if err != nil {
		return err
	}
	defer w.close()
	route := streamRoute{prefix: "/pufi791/", backend: services[0], retain: true}
	if err := d.putConfig(startTimeout, 1, services, route); err != nil {
		return err
	}
	if err := d.awaitReady(startTimeout); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	lose := func(zone string, down time.Duration, disks bool) error {
		if !env.trouble {
			return nil
		}
		for _, p := range zones[zone] {
			p.kill()
		}
		for _, p := range zones[zone] {
			if disks && !p.front {
				if err := p.wipe(); err != nil {
					return err
				}
			}
		}
		time.Sleep(down)
		for _, p := range zones[zone] {
			if err := p.start(false); err != nil {
				return err
			}
		}
		return nil
	}
	if err := lose(zoneNames[2], 3500*time.Millisecond, false); err != nil {
		return err
	}
	// A lost machine counts as lost for catch_up_s (4.4) after it is back.
	time.Sleep(12 * time.Second)
	if err := d.putConfig(10*time.Second, 2, services, route); err != nil {
		return err
	}
	front := fronts[2]
	first := &turn{path: "/pufi791/4b", program: "3fa81c", input: "berth 4;", maxTokens: events * stride}
	kept := first.send(d, front, resumption{}, time.Now().Add(clientDeadline))
	if !kept.wholeAt(events) {
		return fmt.Errorf("the turn before the second loss did not end whole: %d%s", kept.status, kept.reason)
	}
	if err := lose(zoneNames[0], 2*time.Second, true); err != nil {
		return err
	}
	// The loss ends catch_up_s after the machines are back; recover_s is 12.
	time.Sleep(6 * time.Second)
	began := time.Now()
	status, answer, err := d.operate(30*time.Second, http.MethodGet, "/api/Config.Get", nil)
	env.record.add("operator: read back after %s: %d %.40q", time.Since(began).Round(time.Millisecond), status, answer)
	next := &turn{path: first.path, program: first.program, previous: kept.id, input: "agreed;", maxTokens: events * stride}
	served := false
	for range 5 {
		a := next.send(d, front, resumption{}, time.Now().Add(clientDeadline))
		if served = a.wholeAt(events); served {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	fmt.Printf("config read back: status %d; the kept turn continued: %v\n", status, served)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("%w: CONFIG: the config doesn't come, for 36 s after the machines are back; the kept turn continued: %v", errBroken, served)
	}
	if !served {
		return fmt.Errorf("%w: LOST: the kept turn cannot be continued", errBroken)
	}
	return nil
}
