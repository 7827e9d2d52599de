// Package dogini reads INI text strictly, for contracts and node settings.
//
// Every error in the text is recorded as a Problem that names the file, the
// section and the key, and parsing continues, so that one pass reports all of
// them. Unknown keys and sections, that is, those that the caller did not
// request, are problems too, as are repeated keys and repeated sections.
//
// # Usage
//
//	doc := dogini.Parse("firm-1.ini", data)
//	if doc.Unparsable() {
//		return doc.Err()
//	}
//	sec := doc.Section("contract")
//	name := sec.Name("customer")
//	gen := sec.Int("generation", dogini.Range{Min: 1, Max: 1 << 53})
//	if err := doc.Err(); err != nil { // Unknown keys are reported here.
//		return err
//	}
//
// The package reads no files and does not expand references between keys.
package dogini
