// Package fakeload is a load generator that simulates the callers of a
// deployment.
//
// It sends a mix of requests at a given rate to a list of entries and counts the
// results of the customer requests by class. Arrivals are open loop: slow
// answers do not reduce the rate.
//
// # Usage
//
//	mix, err := fakeload.ParseMix("8 round-sheet GET /rounds/sheets/{n}; 1 invoice POST /billing/invoices 200")
//	report := fakeload.Run(ctx, fakeload.Config{Entries: entries, Rate: 100, Duration: 10 * time.Second, Mix: mix})
//
// A customer request is counted once, regardless of the number of its resends:
//
//   - completed: a complete 2xx answer arrived, with the outcome ran or none;
//   - refused: the last answer has the outcome not-run, and no earlier attempt
//     may have run;
//   - unknown: the outcome is unknown or malformed, or no answer arrived;
//   - failed: the request ran with another status, the answer was truncated or
//     belongs to another request, or no connection to the entry could be made.
//
// asked = completed + refused + unknown + failed.
package fakeload
