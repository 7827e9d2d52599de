// Package dogscript runs test scripts of decision packages.
//
// A script is a txtar file in testdata. Its comment says which failure it guards
// against. The file "script" holds one command per line, the file "want" the
// commands with their results. The flag -update writes the results. Short
// scripts, whose commands have one result each, stand in one archive with the
// results in the same line; RunLines runs these.
//
// # Usage
//
//	func TestScripts(t *testing.T) {
//		dogscript.Run(t, func(out *strings.Builder) func(t *testing.T, words []string) {
//			s := &script{out: out}
//			return s.run
//		})
//	}
//
// The package is for tests only and knows no commands of its own.
package dogscript
