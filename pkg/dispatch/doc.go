// Package dispatch chooses the back end of each request.
//
// It predicts the time to the first token from what this process and its peers have sent to an
// engine and have not seen answered, and from the prompts that the engine probably keeps.
// Engines' own reports lag and are not asked for.
package dispatch
