// Command standin3 runs the scripted cases of the third review. It starts the programs of the
// deploy file as processes on loopback addresses, stands in for the platform, the operator, the
// backend servers and the clients, and judges a case by what these see.
package main
