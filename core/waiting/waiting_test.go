package waiting

import "time"

func testOptions(name string) Options {
	return Options{Service: "s", Entry: name, PlanShare: DefaultPlanShare, KeepShare: DefaultKeepShare, Stagger: playBatch + 3*playLink, ReportLifetime: 1500 * time.Millisecond}
}

func queues(change func(*Options)) func(string) discipline {
	return func(name string) discipline {
		o := testOptions(name)
		if change != nil {
			change(&o)
		}
		return New(o)
	}
}

// surge plays a load for a time and a load of 0.8 after it.
func surge(p *play, load float64, length time.Duration) {
	like := caller{entry: -1, target: 300 * time.Millisecond, timeout: 6 * time.Second, tokens: 5000}
	p.arrive(0, length, load*p.capacity(), like)
	p.arrive(length, length+6*time.Second, 0.8*p.capacity(), like)
	p.run(length + 12*time.Second)
}
