// Package docsgen keeps the documentation pages consistent with the code. It generates the
// sections that can be derived from the code, and collects the reasons and metrics that the
// handwritten sections must document, for the tests that check them.
package docsgen
