package gateway

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// admitShare is the longest predicted time to the first token at which a request is admitted, as a share of the
// route's target. A request with a longer wait would be answered too late and would delay others.
const admitShare = 1.15

// admit returns nil if the request may be sent to the chosen upstream, and a refusal if the predicted wait there
// is too long. The prediction uses the loads of this box and those that its peers reported; an unknown load counts
// as zero.
//
// Plain services, routes without a target and requests that may have run are always admitted, so that a stream
// that resumes is not refused. The same holds for one that its caller takes up again and that is bound to one of several
// software versions: there may be few upstreams of it, and its first event, which the target is for, has been passed on.
func (r *inflight) admit(choice dispatch.Choice) *refusal {
	if r.need.Model == "" || r.route.Target <= 0 || r.attempts.mayHaveRun > 0 || r.resumption.Bound && r.resumption.checked {
		return nil
	}
	if choice.Wait <= time.Duration(admitShare*float64(r.route.Target)) {
		return nil
	}
	return notRun(reasonFull, r.timeUntilRoom(choice))
}

// timeUntilRoom estimates the time until the wait at the chosen upstream has fallen to half of the route's target.
func (r *inflight) timeUntilRoom(choice dispatch.Choice) time.Duration {
	return choice.Wait - r.route.Target/2
}
