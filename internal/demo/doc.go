// Package demo runs a complete system on one machine: three entry and control processes,
// three backend servers with sidecars, and the programs of two customers with their
// contracts. It kills an entry and a sidecar while the programs run. At the end it checks
// that each program finished with its calls in order and its history complete, and that
// each booking was made exactly once.
package demo
