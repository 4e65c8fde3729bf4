//go:build cgo

// Package hangup ignores SIGHUP from the start of a program that imports it until the program calls
// signal.Notify. A signal that asks a process to read its settings again may come before the process
// handles signals, and would end it. What the process reads later is new enough without the signal.
//
// With cgo, a constructor ignores the signal as soon as the program is loaded, before the Go runtime
// starts, which then leaves it ignored. Without cgo, it is ignored when packages are initialized.
package hangup

import "C"
