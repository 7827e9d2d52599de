// Package fakeload is a stand-in for the callers of a deployment.
//
// It sends a described mix of requests at a given rate to a list of entries
// and counts, by class, how each customer request ended. The rate is open
// loop: slow answers do not slow the requests down.
//
// # Usage
//
//	mix, err := fakeload.ParseMix("8 round-sheet GET /rounds/sheets/{n}; 1 invoice POST /billing/invoices 200")
//	report := fakeload.Run(ctx, fakeload.Config{Entries: entries, Rate: 100, Duration: 10 * time.Second, Mix: mix})
//
// One customer request counts once, whatever the number of its resends:
//
//   - completed: the whole answer arrived, says that it ran, and is 2xx;
//   - refused: the last answer says not-run, and no earlier attempt may have run;
//   - unknown: the answer says unknown, or none arrived;
//   - failed: it ran with another status, the answer was cut short or belongs
//     to another request, or no entry could be reached.
//
// asked = completed + refused + unknown + failed.
package fakeload
