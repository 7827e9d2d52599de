package dogconfig_test

import (
	"fmt"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogconfig"
)

// An object with an older generation does not replace the generation in force.
func Example() {
	now := time.Unix(1e6, 0)
	c := newConfig(1)
	for _, generation := range []string{"2", "1"} {
		obj := dogwoodford.Object{Name: "contract/firm-1", Version: 1, Value: text("firm-1", generation, "x")}
		c.OnEvent(now, dogconfig.ObjectSeen{Object: obj})
		fmt.Println(c.Snapshot()["firm-1"].Number)
	}
	// Output:
	// 2
	// 2
}
