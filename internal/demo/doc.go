// Package demo runs the main job on one machine: three entry and control
// processes, three backend servers with sidecars, the contracts of two
// customers and their programs. Half way it kills an entry and a sidecar, and
// at the end it checks that each program finished in order, whole, and with
// each booking done once.
package demo
