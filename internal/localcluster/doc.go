// Package localcluster runs a cluster as processes on this machine: entries, control
// processes, sidecars and fake backend servers. The demo and the process tests use it.
package localcluster
