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

// claims measures the commits of one member at several rates of requests that are not
// idempotent. Each request runs for 20 ms.
type claims struct {
	Seed  uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Time  time.Duration `long:"time" default:"4s" description:"time of one run"`
	Delay time.Duration `long:"delay" default:"5ms" description:"delay of the table service"`
	Rates []int         `long:"rate" description:"requests a second; default 1, 5, 20, 100, 500 and 2000"`
}

// Execute implements flags.Commander.
func (c *claims) Execute([]string) error {
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

func (c *claims) run(rate int) {
	p := &standin.Platform{}
	self := &rowstore.Claims{Table: delayed(p.Table(), c.Delay), Self: memberID(0)}
	ctx, cancel := context.WithCancel(context.Background())
	var run, requests sync.WaitGroup
	run.Go(func() { self.Run(ctx) })
	r := rand.New(rand.NewPCG(c.Seed, uint64(rate)))
	length := c.Time
	if rate < 20 {
		length *= 3 // enough arrivals for a ratio
	}
	claimed := make(chan struct{}, 1+int(2*float64(rate)*length.Seconds())+100)
	start := time.Now()
	next := 0.0
	for i := 0; ; i++ {
		next += r.ExpFloat64() / float64(rate)
		if next > length.Seconds() {
			break
		}
		time.Sleep(time.Until(start.Add(time.Duration(next * float64(time.Second)))))
		requests.Go(func() {
			claim, err := self.Claim(ctx, rowstore.ClaimRequest{
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
	run.Wait()
	t, n, k := length.Seconds(), float64(len(claimed)), p.Counters()
	fmt.Printf("| %d | %.1f | %.1f | %.1f | %.2f |\n", rate, n/t, float64(k.Writes)/t, float64(k.Rows)/float64(max(1, k.Writes)), float64(k.Writes)/max(1, n))
}
