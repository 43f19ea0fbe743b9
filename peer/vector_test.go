package peer_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/fleet"
	"citronknot/peer"
)

func vectorGenerator() *rapid.Generator[peer.Vector] {
	return rapid.Custom(func(t *rapid.T) peer.Vector {
		small := rapid.Uint64Range(1, 3)
		v := peer.Vector{Config: fleet.Version(rapid.Uint64Range(0, 3).Draw(t, "config"))}
		v.Zones = rapid.MapOf(rapid.SampledFrom([]fleet.ZoneID{"a", "b"}), rapid.Map(small, func(n uint64) fleet.Version { return fleet.Version(n) })).Draw(t, "zones")
		v.Loads = rapid.MapOf(rapid.SampledFrom([]fleet.MemberID{"m", "n", "o"}), rapid.Custom(func(t *rapid.T) peer.Stamp {
			return peer.Stamp{Epoch: small.Draw(t, "epoch"), Seq: small.Draw(t, "seq")}
		})).Draw(t, "loads")
		return v
	})
}

// Guards against vectors that converge to different states depending on the order of exchanges,
// and against a merge that drops the newer of two entries.
func TestVectorMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := vectorGenerator().Draw(t, "a"), vectorGenerator().Draw(t, "b"), vectorGenerator().Draw(t, "c")
		must.True(t, a.Merge(a).Equal(a))
		must.True(t, a.Merge(b).Equal(b.Merge(a)))
		must.True(t, a.Merge(b).Merge(c).Equal(a.Merge(b.Merge(c))))
		must.True(t, a.NewerThan(a.Merge(b)).Empty() && b.NewerThan(a.Merge(b)).Empty())
		must.True(t, b.Merge(a.NewerThan(b)).Equal(a.Merge(b)), must.Sprint("merging the newer entries of a into b must equal merging a into b"))
		must.Eq(t, a.NewerThan(b).Empty() && b.NewerThan(a).Empty(), a.Equal(b))
	})
}

// Guards against a partial vector being treated as one without any load summaries.
func TestPartialVectorIgnoresLoads(t *testing.T) {
	own := peer.Vector{Config: 2, Loads: map[fleet.MemberID]peer.Stamp{"m": {Epoch: 1, Seq: 1}}}
	must.True(t, own.NewerThan(peer.Vector{Config: 2, Partial: true}).Empty())
	must.Eq(t, fleet.Version(2), own.NewerThan(peer.Vector{Config: 1, Partial: true}).Config)
}

// Guards against a change being sent to peers that already have it or to too many peers, and
// against a peer without the change being omitted.
func TestScheduleSuppressesRepeatedSends(t *testing.T) {
	var s peer.Schedule
	first := func(int) int { return 0 }
	own := peer.Vector{Config: 2, Partial: true}
	peers := []fleet.MemberID{"a", "b", "c"}
	s.Observe("a", peer.Vector{Config: 2}, 0)
	s.Observe("b", peer.Vector{Config: 1}, 0)
	must.Eq(t, []fleet.MemberID{"b", "c"}, s.OnChange(own, peers, first))

	complete := peer.Vector{Config: 2}
	must.Eq(t, []fleet.MemberID{"b", "c"}, s.OnTick(peer.Period-1, 3, complete, false, peers, first))
	must.Eq(t, peers, s.OnTick(peer.Period-1, 3, complete, true, peers, first))
	must.Eq(t, peers, s.OnTick(peer.Period, 3, complete, false, peers, first))
	must.Eq(t, 1, len(s.OnTick(peer.Period, 1, complete, false, peers, first)))

	many := make([]fleet.MemberID, 150)
	for i := range many {
		many[i] = fleet.MemberID(rune('A' + i))
	}
	must.Eq(t, peer.EventFanout, len(s.OnChange(own, many, first)))
	s.Retain(nil)
	must.Eq(t, peers, s.OnChange(own, peers, first))
}

// Guards against a summary that is kept after its member stopped responding, and against an
// expired summary being reintroduced by a peer that lags.
func TestLoadsDropUnresponsiveMembers(t *testing.T) {
	var l peer.Loads
	sum := peer.Summary{Member: "m", Stamp: peer.Stamp{Epoch: 1, Seq: 5}, Age: 40, Pools: map[fleet.PoolID]peer.PoolLoad{"p": {InFlight: 1}}}
	must.True(t, l.Put(sum, 0))
	got, ok := l.Get("m", 3000)
	must.True(t, ok)
	must.Eq(t, 3040, got.Age)
	_, ok = l.Get("m", 3001)
	must.False(t, ok)
	l.Expire(3001)
	must.False(t, l.Put(sum, 3002))
	must.Eq(t, 0, len(l.Live(3002)))
	sum.Stamp = peer.Stamp{Epoch: 2, Seq: 1}
	must.True(t, l.Put(sum, 3003), must.Sprint("the summary of a restarted member must be stored"))
	l.Expire(70_000)
	must.Eq(t, 0, len(l.Stamps()))
}
