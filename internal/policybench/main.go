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
			ms := simulateAll(scs, 2)
			for i := range ms {
				if i%2 == 0 {
					fmt.Printf("%s %.2f %-28.28s", d.name, load, scs[i].variant.name)
				}
				m := ms[i]
				f := func(x time.Duration) string { return fmt.Sprintf("%4.0f", x.Seconds()) }
				fmt.Printf(" | %s %s %s %s rec %6.1f vain %5.0f good %.3f j %.2f rpc %.3f f %4d", f(m.quantile(.95, 0)), f(m.quantile(.95, 1)), f(m.quantile(.95, 2)), f(m.quantile(.95, 0, 1, 2)), m.recomputed/1e6, m.vain/1e6, m.goodput(), m.jain(), m.retriesPerCall(), m.failed)
				if i%2 == 1 {
					fmt.Println()
				}
			}
		}
	}
	fmt.Println(time.Since(start))
}
