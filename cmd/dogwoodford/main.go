// Command dogwoodford is the node and the operators' tool of the overload
// control layer.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "dogwoodford: no commands yet")
	os.Exit(2)
}
