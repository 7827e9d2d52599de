// Command dogfake provides fakes for tests and the demo: the platform's object
// service, a target, a load generator and a collector of traces. It is not part
// of the product.
//
// # Usage
//
//	dogfake platform -listen 127.0.0.1:7000
//	dogfake target -listen 127.0.0.1:7105 -service rounds -slots 45 -time 20ms -exit 127.0.0.1:7102 \
//		-calls "/sheets/ sequence GET /depot/stock/1 GET /evidence/photos/1"
//	dogfake load -entry 127.0.0.1:7101 -rate 200 -duration 10s -customer firm-1 -credential SECRET \
//		-mix "8 round-sheet GET /rounds/sheets/{n}; 1 invoice POST /billing/invoices 200"
//
// The packages under internal document each fake. The command call makes one
// HTTP call, with which scripts control them.
package main
