// Package compare has orderings that the standard library lacks.
package compare

// Bool orders false before true.
func Bool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
