// Package dogscript runs the test scripts of packages that decide without I/O.
//
// A script is a txtar archive in testdata, whose comment states the failure that
// the script guards against. The file "script" holds one command per line, the
// file "want" the commands with their results. Run executes these scripts; the
// flag -update rewrites the results.
//
// Short scripts, whose commands have one result each, share one archive and have
// the result on the line of the command. RunLines executes these.
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
// The package is for tests only and defines no commands.
package dogscript
