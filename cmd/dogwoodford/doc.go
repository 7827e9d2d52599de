// Command dogwoodford is the node of the overload control layer and its tool
// for operators.
//
// # Usage
//
//	dogwoodford node --settings rounds-1.ini
//	dogwoodford contract check contracts/consortium
//	dogwoodford contract apply firm-1.ini --platform 127.0.0.1:7000
//	dogwoodford contract status firm-1 --platform 127.0.0.1:7000 --node 127.0.0.1:7104 --wait
//	dogwoodford status --node 127.0.0.1:7104
//
// docs/operators.md describes the commands and their exit codes. The package only
// connects the implementations to the commands, which are in io/process/dogcli. The
// stand-ins for tests are a separate command, dogfake.
package main
