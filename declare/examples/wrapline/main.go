// Command wrapline prints the configuration of Prairie Wrapline Labels Ltd.
package main

import (
	"fmt"

	"github.com/baobabsill/baobabsill/declare"
)

func main() {
	c := declare.New("wrapline")
	c.Zone("regina-north")
	c.Zone("winnipeg-east")
	c.Zone("calgary-south")

	var press, desk []string
	for i := 1; i <= 20; i++ {
		press = append(press, c.Service(fmt.Sprintf("press-station-%02d", i)).
			Replicas(2).Slots(3).BearsCold(1).Connections(30).Name())
	}
	for i := 1; i <= 30; i++ {
		desk = append(desk, c.Service(fmt.Sprintf("order-desk-%02d", i)).
			Replicas(2).Slots(3).BearsCold(1).Connections(30).Name())
	}
	reprint := c.Service("reprint-desk").Replicas(9).Slots(6).BearsCold(2).Connections(50).Name()
	feed := c.Service("recipe-feed").Replicas(4).Slots(6).BearsCold(2).Connections(50).Name()

	// A missing allergen line can lead to a recall, so the answer is complete or
	// refused.
	c.Search("allergen", declare.ClassComplete, press...).Priority(declare.PriorityCritical)
	c.Search("past-orders", declare.ClassPartial, desk...)
	// Recipe changes of the night are browsed before the shift.
	c.Search("recipe-changes", declare.ClassPartial, feed).Priority(declare.PriorityBrowse)
	c.Operation("reprint", reprint)
	c.Main()
}
