package dogini_test

import (
	"fmt"
	"time"

	"dogwoodford/core/version/dogini"
)

func Example() {
	doc := dogini.Parse("demo.ini", []byte("[limits]\ndeadline = 2\nretries = 3\nretires = 3\n"))
	sec := doc.Section("limits")
	sec.Duration("deadline", time.Millisecond, time.Minute)
	sec.Int("retries", dogini.Range{Min: 0, Max: 16})
	fmt.Println(doc.Err())
	// Output:
	// demo.ini: [limits] deadline: "2" is not a duration with a unit, such as 250ms or 2s
	// demo.ini: [limits] retires: the key is unknown
}
