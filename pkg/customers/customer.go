package customers

// Customer is one customer of a version of the configuration.
type Customer struct {
	Name string
	// Keys name the customer; a customer without keys asks for nothing.
	Keys []Digest
	// Urgency goes before that of a route, 0 first; nil leaves the route's.
	Urgency *int
	Limit   Limit
	// Regions in which the customer's requests may be served.
	Regions Regions
}

// Unit is what a limit counts.
type Unit int

// The units.
const (
	// Requests count one each.
	Requests Unit = iota
	// Tokens count those of a request's prompt and the most of its answer.
	Tokens
)

// Limit bounds what a customer spends over all boxes together.
type Limit struct {
	Unit Unit
	// PerSecond is the rate in units a second; 0 is no limit.
	PerSecond float64
	// Burst is how many units may be spent on top at once.
	Burst float64
	// PlainTokens is what a request counts that names no tokens, where tokens are counted.
	PlainTokens int
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Cost is what a request with so many tokens in prompt and answer counts, in units of the limit.
func (l Limit) Cost(promptTokens, answerTokens int) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case promptTokens+answerTokens == 0:
		return float64(l.PlainTokens)
	}
	return float64(promptTokens + answerTokens)
}
