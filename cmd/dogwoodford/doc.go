// Command dogwoodford is the node and the operators' tool of the overload
// control layer.
//
// # Usage
//
//	dogwoodford node --settings rounds-1.ini
//	dogwoodford contract check contracts/consortium
//	dogwoodford contract apply firm-1.ini --platform 127.0.0.1:7000
//	dogwoodford contract status firm-1 --platform 127.0.0.1:7000 --node 127.0.0.1:7104 --wait
//	dogwoodford status --node 127.0.0.1:7104
//
// docs/operators.md describes the commands and their exit codes. The package
// only connects the parts: the commands are in io/process/dogcli. The
// stand-ins for tests are a command of their own, dogfake.
package main
