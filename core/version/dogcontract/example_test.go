package dogcontract_test

import (
	"fmt"
	"os"

	"dogwoodford/core/version/dogcontract"
)

func Example() {
	data, err := os.ReadFile("../../../contracts/consortium/firm-1.ini")
	if err != nil {
		fmt.Println(err)
		return
	}
	c, err := dogcontract.Parse("firm-1.ini", data)
	if err != nil {
		fmt.Println(err) // One line per problem.
		return
	}
	class, _ := c.Match("rounds", "POST", "/collections/17")
	fmt.Println(class.Name(), class.Importance(), class.Idempotent(), class.Deadline())
	for _, step := range c.Consequences(3).Shed[:2] {
		fmt.Println("shed early:", step.Classes)
	}
	// Output:
	// collection 6 false 5s
	// shed early: [report]
	// shed early: [photo-view invoice-view]
}
