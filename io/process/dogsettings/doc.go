// Package dogsettings reads and checks the settings of a node.
//
// The format is INI, described in section 8.2 of docs/design.md. Checking is
// strict and reports every fault at once, with file, section and key.
//
// # Usage
//
//	s, err := dogsettings.Load("rounds-1.ini")
//	if err != nil {
//		return err // A dogini.Problems with all faults.
//	}
//
// Settings concern one process only. What concerns customers stands in
// contracts, which change while nodes run; settings are read once, at the
// start. The package does not open any of the addresses.
package dogsettings
