package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"citronknot/fleet"
	"citronknot/rowstore"
	"citronknot/standin"
)

// claimsCommand measures the commits of one member to the table service at several rates of
// requests that are not idempotent and are therefore claimed before they run. Each request runs
// for 20 ms.
type claimsCommand struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrival times"`
	Duration time.Duration `long:"time" default:"4s" description:"duration of one run; three times as long below 20 requests a second"`
	Delay    time.Duration `long:"delay" default:"5ms" description:"delay of each call to the table service"`
	Rates    []int         `long:"rate" description:"requests a second; repeat for several rates; default 1, 5, 20, 100, 500 and 2000"`
}

// Execute implements flags.Commander.
func (c *claimsCommand) Execute([]string) error {
	if len(c.Rates) == 0 {
		c.Rates = []int{1, 5, 20, 100, 500, 2000}
	}
	fmt.Println("| requests/s asked | claimed/s | commits/s | rows a commit | commits a request |")
	fmt.Println("|---|---|---|---|---|")
	for _, rate := range c.Rates {
		c.run(rate)
	}
	return nil
}

// run sends requests at a rate with exponential gaps and prints one row of the table.
func (c *claimsCommand) run(rate int) {
	platform := &standin.Platform{}
	claims := &rowstore.Claims{Table: withDelay(platform.Table(), c.Delay), Self: memberID(0)}
	ctx, cancel := context.WithCancel(context.Background())
	var background, requests sync.WaitGroup
	background.Go(func() { claims.Run(ctx) })
	random := rand.New(rand.NewPCG(c.Seed, uint64(rate)))
	duration := c.Duration
	if rate < 20 {
		duration *= 3 // enough arrivals for a ratio
	}
	claimed := make(chan struct{}, 1+int(2*float64(rate)*duration.Seconds())+100)
	start := time.Now()
	arrival := 0.0
	for i := 0; ; i++ {
		arrival += random.ExpFloat64() / float64(rate)
		if arrival > duration.Seconds() {
			break
		}
		time.Sleep(time.Until(start.Add(time.Duration(arrival * float64(time.Second)))))
		requests.Go(func() {
			claim, err := claims.Claim(ctx, rowstore.ClaimRequest{
				Team: teamID(i % 150), Queue: "queue-01", IdempotencyKey: fmt.Sprint("key-", i), Request: fleet.RequestID(fmt.Sprint("request-", i)),
			})
			if err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
			claim.Settle(rowstore.OutcomeRan, &rowstore.RecordedAnswer{Status: 200, Body: []byte(`{"done":true}`)})
			claimed <- struct{}{}
		})
	}
	requests.Wait()
	cancel()
	background.Wait()
	seconds, claimedCount, counters := duration.Seconds(), float64(len(claimed)), platform.Counters()
	fmt.Printf("| %d | %.1f | %.1f | %.1f | %.2f |\n", rate, claimedCount/seconds, float64(counters.Writes)/seconds, float64(counters.Rows)/float64(max(1, counters.Writes)), float64(counters.Writes)/max(1, claimedCount))
}
