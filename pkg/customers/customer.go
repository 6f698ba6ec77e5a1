package customers

// Customer is a customer as configured in one version of the configuration.
type Customer struct {
	Name string
	// Keys identify the customer's requests; a customer without keys can't send any.
	Keys []Digest
	// Urgency overrides the urgency of the route, 0 is the most urgent; nil keeps that of the route.
	Urgency *int
	Limit   Limit
	// Regions are the regions in which the customer's requests may be served.
	Regions Regions
}

// Unit is what a limit counts.
type Unit int

// Units of a limit.
const (
	// Requests counts each request as one unit.
	Requests Unit = iota
	// Tokens counts the tokens of a request's prompt and the maximum tokens of its response.
	Tokens
)

// Limit bounds what a customer spends on all boxes together.
type Limit struct {
	Unit Unit
	// PerSecond is the rate in units per second; 0 means no limit.
	PerSecond float64
	// Burst is the number of units that may be spent at once in addition to the rate.
	Burst float64
	// PlainTokens is the cost of a request that names no tokens, if tokens are counted.
	PlainTokens int
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Cost returns the cost of a request in units of the limit, given the tokens of its prompt and its response.
func (l Limit) Cost(promptTokens, answerTokens int) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case promptTokens+answerTokens == 0:
		return float64(l.PlainTokens)
	}
	return float64(promptTokens + answerTokens)
}
