//go:build race

package node

import "time"

func init() {
	raceDetector = true
	storeCallsSize, changeTime = smallFleetSize{boxes: 18, halls: 2, upstreams: 32}, 2*time.Second
}
