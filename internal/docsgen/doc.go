// Package docsgen keeps the pages for operators in step with the code. It writes
// the parts of a page that follow from the code, and collects what the other
// parts have to name: reasons, metrics and state machines.
package docsgen
