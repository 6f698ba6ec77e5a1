// Package residency decides which models and adapters the engines hold, and orders it. It is used
// by `ospreymoor node`.
//
// One box at a time gives orders: the holder of the order lease. Its controller plans the moves of
// models five times a second, loads adapters when requests ask for them or ahead of that, and
// publishes what the engines hold in the fleet's directory. It owns the state of the orders only;
// all of it is learned anew from the engines' reports under each term of the lease.
//
// Every order names the number of orders that the engine has taken before it, so that a copy of the
// order which arrives late is refused. What an unanswered order may have done counts as done until
// the engine's next report.
//
// The native way (`ospreymoor serve`) splits this: pkg/placement plans a model and all of its adapters as
// one and stores the plan; pkg/orders brings a hall's engines to it, by fences or by written intents.
package residency
