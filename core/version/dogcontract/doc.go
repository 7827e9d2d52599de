// Package dogcontract parses and validates contracts and finds the class of a
// request.
//
// A contract is the configuration of one customer: its credentials, the
// capacity of the services, and the classes of its requests. The text format
// is described in section 8.1 of docs/design.md. Parsing is strict: one pass
// reports every problem with its file, section and key.
//
// # Usage
//
//	c, err := dogcontract.Parse("firm-1.ini", data)
//	if err != nil {
//		return err // Wraps a dogini.Problems with all errors.
//	}
//	if !c.Authorized(credential) {
//		// Refuse.
//	}
//	class, ok := c.Match("rounds", http.MethodGet, "/sheets/12")
//
// Diff compares two contracts, Consequences computes the effects of one, and
// SetGeneration replaces the generation in a text and leaves the rest unchanged.
//
// A Contract is immutable and safe for concurrent use. The package reads no
// files, does not decide which generation is in force (dogconfig does), and
// does not compare the contracts of different customers.
package dogcontract
