// Package residency decides which models and adapters each engine holds, and sends the engines the orders to
// load and unload them. It is used by `ospreymoor node`.
//
// Only one box at a time sends orders: the holder of the order lease. Its controller plans moves of models
// five times a second, loads adapters on request or ahead of requests, and publishes what the engines hold
// in the fleet's directory. The controller keeps only the state of its orders. Under each new term of the
// lease it rebuilds that state from the engines' reports.
//
// Every order states how many orders the engine has taken before it, so that the engine refuses a copy of
// the order that arrives late. An order without an answer counts as carried out until the engine's next
// report.
//
// `ospreymoor serve` divides this work differently: pkg/placement plans a model and all of its adapters as
// one unit and stores the plan; pkg/orders makes the engines of a hall follow it, by fences or by written
// intents.
package residency
