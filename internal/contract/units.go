package contract

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const day = 24 * time.Hour

// parseDuration parses a duration like "90s", "24h" or "7d" and returns it in
// milliseconds. It reports whether the text is valid.
func parseDuration(text string) (int64, bool) {
	if days, ok := strings.CutSuffix(text, "d"); ok {
		n, err := strconv.ParseUint(days, 10, 16)
		return int64(n) * day.Milliseconds(), err == nil // n has at most 16 bits
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d%time.Millisecond != 0 {
		return 0, false
	}
	return d.Milliseconds(), true
}

// formatDuration formats milliseconds as a duration that parseDuration accepts.
func formatDuration(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	switch {
	case d == 0:
		return "0s"
	case d%day == 0:
		return strconv.FormatInt(int64(d/day), 10) + "d"
	case d%time.Hour == 0:
		return strconv.FormatInt(int64(d/time.Hour), 10) + "h"
	case d%time.Minute == 0:
		return strconv.FormatInt(int64(d/time.Minute), 10) + "m"
	default:
		return d.String()
	}
}

// parseShare parses a percentage like "40%" or "12.5%" and returns it in permille. It
// reports whether the text is valid.
func parseShare(text string) (uint32, bool) {
	number, ok := strings.CutSuffix(text, "%")
	if !ok {
		return 0, false
	}
	percent, err := strconv.ParseFloat(number, 64)
	permille := percent * 10
	if err != nil || !(permille >= 1 && permille <= MaxSharePermille) {
		return 0, false
	}
	if math.Abs(permille-math.Round(permille)) > 1e-9 {
		return 0, false
	}
	return uint32(math.Round(permille)), true
}

// formatShare formats permille as a percentage that parseShare accepts.
func formatShare(permille uint32) string {
	return strconv.FormatFloat(float64(permille)/10, 'f', -1, 64) + "%"
}
