package entry

import (
	"context"
	"time"
)

// instanceListInterval is the time between two reads of the instance list. It is well below the
// 3 s within which a leaving target must stop getting new requests.
const instanceListInterval = time.Second

// followInstances reads the platform's list of instances at regular intervals until ctx ends.
func (p *Process) followInstances(ctx context.Context) {
	ticker := time.NewTicker(instanceListInterval)
	defer ticker.Stop()
	for {
		if list, err := p.client.Instances(ctx); err == nil {
			p.instances.Observe(list)
		} else if ctx.Err() == nil {
			p.log.Warn("entry: instance list not read", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
