// Package dogsettings reads and checks the settings of a node.
//
// The format is INI, described in section 8.2 of docs/design.md. The checks are
// strict and report all problems together, each with file, section and key.
//
// # Usage
//
//	s, err := dogsettings.Load("rounds-1.ini")
//	if err != nil {
//		return err // Wraps a dogini.Problems with all problems.
//	}
//
// Settings apply to one process and are read once, at its start. What concerns
// customers is part of contracts, which can change while nodes run. The package
// does not open connections to any of the addresses.
package dogsettings
