// Package compare provides comparison functions that the standard library lacks.
package compare

// Bool returns a negative number if a < b, zero if a == b and a positive number if a > b,
// where false < true.
func Bool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
