package transport

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// RetryAfter reads the value of a Retry-After header in seconds, also with a fraction. What is longer than a duration holds is cut to
// half of the longest one, so that a time can be added to it. It is false for dates, for less than nothing and for what is no number.
func RetryAfter(value string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	tooLarge := math.IsInf(seconds, 1)
	if err != nil && !tooLarge || !(seconds >= 0) { // Not a number fails this comparison, too.
		return 0, false
	}
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2)), true
}
