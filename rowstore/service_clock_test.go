package rowstore_test

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/clock"
	"citronknot/rowstore"
)

// Guards against bounds that the service's clock is outside of, whose rate differs by up to 2%, while responses
// are slow, wait for changes or stay away for a minute, and against bounds that a slow response widens.
func TestServiceClockIsWithinItsBounds(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 11))
		rate := 0.98 + 0.04*random.Float64()
		start := 1000 * random.Float64()
		var now clock.Millis
		serviceNow := func() clock.Millis { return clock.Millis(start + rate*float64(now)) }
		c := clock.Clock{NowFunc: func() clock.Millis { return now }}
		service := &rowstore.ServiceClock{Clock: c}
		_, _, ok := service.Bounds()
		must.False(t, ok)
		now += 100
		for range 200 {
			sent := c.Mark()
			now += clock.Millis(random.IntN(30))
			answered := serviceNow()
			if random.IntN(5) == 0 {
				now += clock.Millis(random.IntN(1000)) // a slow way back
			}
			service.Observe(answered, sent)
			if random.IntN(40) == 0 {
				now += 60_000
			}
			now += clock.Millis(random.IntN(300))
			earliest, latest, ok := service.Bounds()
			must.True(t, ok)
			must.Between(t, earliest, serviceNow(), latest, must.Sprintf("seed %d", seed))
		}
		sent := c.Mark()
		now += 10
		service.Observe(serviceNow(), sent)
		now += 1000
		service.Observe(serviceNow(), sent)
		earliest, latest, _ := service.Bounds()
		must.Less(t, 100, latest-earliest)
	}
}

// Guards against a response without a time, or with one that can't be, that makes the clock unknown or wrong.
func TestServiceClockIgnoresMissingTimes(t *testing.T) {
	var now clock.Millis
	c := clock.Clock{NowFunc: func() clock.Millis { return now }}
	service := &rowstore.ServiceClock{Clock: c}
	service.Observe(0, c.Mark())
	_, _, ok := service.Bounds()
	must.False(t, ok)
	service.Observe(700, c.Mark())
	service.Observe(0, c.Mark())
	earliest, latest, ok := service.Bounds()
	must.True(t, ok)
	must.Between(t, earliest, 700, latest)
}
