package entry

import (
	"context"
	"time"
)

// listEvery is short against the 3 s within which a leaving target gets its last new request.
const listEvery = time.Second

// followList reads the platform's list of instances until ctx ends.
func (p *Process) followList(ctx context.Context) {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for {
		if list, err := p.client.Instances(ctx); err == nil {
			p.list.Observe(list)
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
