// Package localcluster runs the programs of the project as processes on this
// machine: entries, control processes, sidecars and fake backend servers. The
// demo and the tests with real processes share it.
package localcluster
