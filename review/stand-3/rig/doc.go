// Package rig starts nodes of the project as processes on loopback addresses, with
// stand-ins for the platform's store, workers and clients that follow the users' pages.
package rig
