// Package dogfile reads contract files and folders of them.
//
// # Usage
//
//	f, err := dogfile.Read("contracts/consortium/firm-1.ini")
//	files, err := dogfile.ReadFolder("contracts/consortium")
//
// A folder holds one deployment; each file is named after its customer. Faults
// of all files of a folder are reported at once.
//
// The package writes no files and does not follow changes of files.
package dogfile
