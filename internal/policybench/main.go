// Command policybench measures the decision packages in virtual time.
package main

import (
	"flag"
	"fmt"
	"strings"
	"time"
)

func main() {
	filter := flag.String("rows", "", "")
	loads := flag.String("loads", "0.95 1.5", "")
	flag.Parse()
	start := time.Now()
	for _, d := range deployments() {
		for _, l := range strings.Fields(*loads) {
			var load float64
			fmt.Sscan(l, &load)
			var scs []scenario
			for _, v := range variants() {
				if strings.Contains(v.name, *filter) {
					scs = append(scs, scenario{d, v, load, false}, scenario{d, v, load, true})
				}
			}
			for i, m := range simulateAll(scs, 2) {
				f := func(x time.Duration) string { return fmt.Sprintf("%5.0f", x.Seconds()) }
				fmt.Printf("%s %.2f %-28.28s %5v hi %s %s %s mid %s lo %s all %s  rec %6.1fM vain %6.0fM good %.3f rpc %.3f jain %.2f failed %d/%d %v %v\n", d.name, load, scs[i].variant.name, scs[i].faults,
					f(m.quantile(.5, 0)), f(m.quantile(.95, 0)), f(m.quantile(.99, 0)), f(m.quantile(.95, 1)), f(m.quantile(.95, 2)), f(m.quantile(.95, 0, 1, 2)),
					m.recomputed/1e6, m.vain/1e6, m.goodput(), m.retriesPerCall(), m.jain(), m.failed, m.programs, m.refusals, m.stops)
			}
		}
	}
	fmt.Println(time.Since(start))
}
