package rowstore_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/rowstore"
	"citronknot/standin"
)

// Guards against members that start together and of which only one registers in each renewal
// period, so that none may accept a release note for long.
func TestMembersThatStartTogetherRegisterSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		table := (&standin.Platform{}).Table()
		slow := &rowstore.Table{Read: table.Read, Transact: func(ctx context.Context, tx rowstore.Transaction) ([]fleet.Version, error) {
			time.Sleep(5 * time.Millisecond)
			return table.Transact(ctx, tx)
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var members []*rowstore.Members
		for i := range n {
			m := &rowstore.Members{Table: slow, Self: rowstore.Member{ID: fleet.MemberID(fmt.Sprintf("m%d", i)), Zone: "z"}}
			members = append(members, m)
			go m.Run(ctx)
		}
		// One renewal period acknowledges the members that registered before it.
		time.Sleep(3500 * time.Millisecond)
		for _, m := range members {
			must.True(t, m.Live())
			must.NoError(t, m.Refresh(ctx))
			must.True(t, m.MayAccept())
		}
		cancel()
		synctest.Wait()
	})
}
