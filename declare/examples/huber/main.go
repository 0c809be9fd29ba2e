// Command huber prints the configuration of Eisstock Fahnen Huber GmbH, in which a
// new order portal replaces the ledger and both still run.
package main

import (
	"fmt"

	"github.com/baobabsill/baobabsill/declare"
)

func main() {
	c := declare.New("huber")
	c.Zone("muenchen-ost")
	c.Zone("augsburg-hall")
	c.Zone("nuernberg-lager")

	var archive []string
	for i := 1; i <= 20; i++ {
		archive = append(archive, c.Service(fmt.Sprintf("order-portal-%02d", i)).
			Phase(declare.PhaseNew).Replicas(2).Slots(2).BearsCold(1).Connections(25).Name())
	}
	for i := 1; i <= 30; i++ {
		archive = append(archive, c.Service(fmt.Sprintf("ledger-bridge-%02d", i)).
			Phase(declare.PhaseRetiring).Replicas(2).Slots(2).BearsCold(1).Connections(25).Name())
	}
	workshop := c.Service("workshop").Replicas(7).Slots(2).BearsCold(1).Connections(110).Name()
	shipping := c.Service("shipping").Replicas(3).Slots(2).BearsCold(1).Connections(110).Name()

	// The order desk answers customers on the phone, so that some patterns in time
	// are better than all of them late.
	c.Search("pattern-archive", declare.ClassPartial, archive...)
	// Cutting from an incomplete card wastes cloth.
	c.Search("stitching-card", declare.ClassComplete, workshop)
	// Orders run on the service that carries them out, so that taking an order does
	// not depend on the retiring ledger or the new portal.
	c.Operation("order", shipping)
	c.Main()
}
