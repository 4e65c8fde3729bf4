package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// budgetWarningPercent is the percentage of a budget, used and reserved, from which the
// status command reports a problem.
const budgetWarningPercent = 90

// statusReport is the output of the status command.
type statusReport struct {
	Servers   int      `json:"servers"`
	Ready     int      `json:"servers_ready"`
	Customers int      `json:"customers"`
	Processes int      `json:"control_processes"`
	Programs  int      `json:"programs"`
	OpenCalls int      `json:"open_calls"`
	Problems  []string `json:"problems"`
}

func newStatusReport(servers []*rpcpb.Announcement, view *rpcpb.ViewResponse) *statusReport {
	r := &statusReport{
		Servers:   len(servers),
		Customers: len(view.Contracts),
		Programs:  len(view.Programs),
		Problems:  []string{},
	}
	r.addServers(servers)
	r.addBudgets(view)
	for _, p := range view.Programs {
		if p.OpenCall != "" {
			r.OpenCalls++
		}
	}
	return r
}

// addServers counts the ready servers, and reports servers that are not ready as well as
// models and services that no ready server offers.
func (r *statusReport) addServers(servers []*rpcpb.Announcement) {
	readyByOffer := make(map[string]int)
	for _, a := range servers {
		if a.State == rpcpb.ServerState_SERVER_STATE_READY {
			r.Ready++
		} else {
			r.addProblem("server %s is %s", a.Server, serverState(a.State))
		}
		for _, offer := range append(append([]string{}, a.Models...), a.Services...) {
			if a.State == rpcpb.ServerState_SERVER_STATE_READY {
				readyByOffer[offer]++
			} else {
				readyByOffer[offer] += 0 // adds the offer to the map
			}
		}
	}
	for offer, ready := range readyByOffer {
		if ready == 0 {
			r.addProblem("no server is ready for %s", offer)
		}
	}
	if len(servers) == 0 {
		r.addProblem("no backend server has announced itself")
	}
}

// addReplicas counts the control processes and reports those that do not respond, those
// with replicas that wait to be added to their groups, and those that know no leader of
// some groups.
func (r *statusReport) addReplicas(report *rpcpb.ReplicaReport) {
	r.Processes = len(report.Processes)
	for _, address := range report.Silent {
		r.addProblem("control process %s does not answer", address)
	}
	for _, process := range report.Processes {
		waiting, leaderless := 0, 0
		for _, replica := range process.Replicas {
			if replica.Waits {
				waiting++
			}
			if replica.Leader == 0 {
				leaderless++
			}
		}
		if waiting > 0 {
			r.addProblem("%d replicas of %s wait to be added to their groups", waiting, process.Address)
		}
		if leaderless > 0 {
			r.addProblem("%s knows no leader of %d groups", process.Address, leaderless)
		}
	}
}

// addBudgets reports suspended customers and those whose budget is nearly used up.
func (r *statusReport) addBudgets(view *rpcpb.ViewResponse) {
	budgets := budgetsByCustomer(view)
	for _, c := range view.Contracts {
		b := budgets[c.Customer]
		if c.Suspended {
			r.addProblem("customer %s is suspended", c.Customer)
		}
		if isNearLimit(b) {
			r.addProblem("customer %s has used %d of %d tokens", c.Customer, b.GetUsed()+b.GetReserved(), b.GetLimit())
		}
	}
}

func isNearLimit(b *shardpb.BudgetView) bool {
	return b.GetLimit() > 0 && (b.GetUsed()+b.GetReserved())*100 >= b.GetLimit()*budgetWarningPercent
}

func (r *statusReport) addProblem(format string, args ...any) {
	r.Problems = append(r.Problems, fmt.Sprintf(format, args...))
}

func (r *statusReport) print(out io.Writer) error {
	slices.Sort(r.Problems)
	fmt.Fprintf(out, "servers    %d ready of %d\n", r.Ready, r.Servers)
	fmt.Fprintf(out, "control    %d processes answer\n", r.Processes)
	fmt.Fprintf(out, "customers  %d\n", r.Customers)
	fmt.Fprintf(out, "programs   %d, %d calls open\n", r.Programs, r.OpenCalls)
	if len(r.Problems) == 0 {
		fmt.Fprintln(out, "problems   none")
		return nil
	}
	for _, p := range r.Problems {
		fmt.Fprintf(out, "problem    %s\n", p)
	}
	return nil
}

func (r *statusReport) printJSON(out io.Writer) error {
	return json.NewEncoder(out).Encode(r)
}
