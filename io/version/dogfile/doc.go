// Package dogfile reads contract files, singly or by folder.
//
// # Usage
//
//	f, err := dogfile.Read("contracts/consortium/firm-1.ini")
//	files, err := dogfile.ReadFolder("contracts/consortium")
//
// A folder holds the contracts of one deployment; each file is named after its
// customer. The problems of all files of a folder are reported in one error.
//
// The package writes no files and does not watch files for changes.
package dogfile
