package transport

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// RetryAfter parses the value of a Retry-After header: a number of seconds, with or without a fraction. It reduces
// longer values to half of the longest time.Duration, so that a time can be added without overflow. It returns
// false for dates, negative numbers and values that are not a number.
func RetryAfter(value string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	tooLarge := math.IsInf(seconds, 1)
	if err != nil && !tooLarge || !(seconds >= 0) { // NaN fails this comparison, too.
		return 0, false
	}
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2)), true
}
