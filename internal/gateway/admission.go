package gateway

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// admitShare is the longest predicted time to the first token, as a share of the route's target, at
// which a request is admitted. A request with a longer wait is answered too late and delays the
// others.
const admitShare = 1.15

// admit returns nil if the request may go to the best of the candidates, and its refusal if the wait
// predicted there is too long. The wait comes from the loads of this box and those that its
// peers reported; a load that is not known counts as none.
//
// Plain services, routes without a target and requests that may have run are always admitted: a stream
// that resumes is not turned away.
func (r *inflight) admit(choice dispatch.Choice) *refusal {
	if r.need.Model == "" || r.route.Target <= 0 || r.attempts.mayHaveRun > 0 {
		return nil
	}
	if choice.Wait <= time.Duration(admitShare*float64(r.route.Target)) {
		return nil
	}
	return notRun(reasonFull, r.timeUntilRoom(choice))
}

// timeUntilRoom is the time until the wait at the chosen upstream has probably fallen to half of the
// route's target.
func (r *inflight) timeUntilRoom(choice dispatch.Choice) time.Duration {
	return choice.Wait - r.route.Target/2
}
