// Package dogcontract parses and checks contracts and looks classes up.
//
// A contract is the configuration of one customer: its credentials, notes on
// the capacity of the services, and the classes of its requests. The text
// format is described in section 8.1 of docs/design.md. Parsing is strict: one
// pass reports every fault with file, section and key.
//
// # Usage
//
//	c, err := dogcontract.Parse("firm-1.ini", data)
//	if err != nil {
//		return err // A dogini.Problems with all faults.
//	}
//	if !c.Authorized(credential) {
//		// Refuse.
//	}
//	class, ok := c.Match("rounds", http.MethodGet, "/sheets/12")
//
// Diff compares two contracts, Consequences says what follows from one, and
// SetGeneration rewrites the generation in a text without touching the rest.
//
// A Contract is immutable and safe for concurrent use. The package reads no
// files, does not decide which generation is in force (dogconfig does), and
// does not compare the contracts of different customers.
package dogcontract
