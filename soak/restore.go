package main

import (
	"context"
	"math/rand/v2"
	"time"

	"bergamotbank/platform/standin"
)

const (
	// maxLostChanges is the number of changes that a restored store has lost at most.
	maxLostChanges = 6
	// maxOtherWrites is the number of writes of other users of the store that it has lost at
	// most. With many, the indexes of later changes are below that of the active version.
	maxOtherWrites = 200
	// maxRewriteDelay is the time after which operators have written their entries again.
	maxRewriteDelay = 800 * time.Millisecond
)

// restoreStore changes the configuration, fails the store and restores it from a copy of before
// the changes. Operators write theirs again while the store already serves the older ones.
func restoreStore(d *deployment, r *rand.Rand) {
	domain := domainName(r.IntN(d.size.domains))
	evacuate, out := r.IntN(2) == 0, r.IntN(2) == 0
	if evacuate && !out {
		d.setDomainOut(domain, true)
	}
	copied := d.store.Copy()
	for i := range r.IntN(maxOtherWrites) {
		d.store.Write("other/key", []byte{byte(i)})
	}
	for range 1 + r.IntN(maxLostChanges) {
		d.addRoute()
		time.Sleep(randomDuration(r, 100*time.Millisecond, time.Second))
	}
	if evacuate {
		d.setDomainOut(domain, out)
	}
	outage := []standin.Outage{standin.Unresponsive, standin.Unavailable, standin.ConnectionReset}[r.IntN(3)]
	injectFault(d, "restored store", randomDuration(r, 500*time.Millisecond, 4*time.Second),
		func() { d.store.SetFaults(standin.Faults{Outage: outage}) },
		func() {
			d.store.Restore(copied)
			d.store.SetFaults(standin.Faults{})
			time.Sleep(randomDuration(r, 0, maxRewriteDelay))
			d.store.RewriteOperatorEntries()
		})
	if evacuate && out {
		time.Sleep(randomDuration(r, time.Second, 4*time.Second))
		d.setDomainOut(domain, false)
	}
}

// restoreRepeatedly restores the store again and again and checks each time that changes become
// active afterwards.
func restoreRepeatedly(ctx context.Context, d *deployment, seed uint64, logStep func(string)) {
	r := rand.New(rand.NewPCG(seed, 13))
	for sleep(ctx, timeBeforeCut); ctx.Err() == nil; {
		logStep("the store returns from an older copy")
		restoreStore(d, r)
		sleep(ctx, randomDuration(r, stabilizationTime/2, 2*stabilizationTime))
		logStep("a route is added")
		checkAddedRoute(d, domainName(r.IntN(d.size.domains)))
	}
}
