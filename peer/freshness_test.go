package peer_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/peer"
)

const bound clock.Millis = 3000

// world is a model of the table service, of members with clocks of their own, and of calls
// that are lost or late.
type world struct {
	now     clock.Millis // true time
	head    fleet.Version
	changed map[fleet.Version]clock.Millis // when each version was accepted
	members []*model
	calls   []func() // calls under way: running one moves it by one step
}

type model struct {
	id            fleet.MemberID
	fresh         peer.Freshness
	held          fleet.Version
	mono, wall    clock.Millis
	cut, dead     bool
	gone          bool
	goneSince     clock.Mark
	life          int // counts restarts
	rounds        []*peer.Round
	unanimous     int
	dropsWallTime bool // its faults are wall clock jumps, not pauses that stop the monotonic clock
}

func newWorld(n int) *world {
	w := &world{changed: map[fleet.Version]clock.Millis{}}
	for i := range n {
		m := &model{id: fleet.MemberID(fmt.Sprint("m", i)), mono: clock.Millis(1000 * i), wall: 1_000_000, dropsWallTime: i%2 == 0}
		m.fresh.Clock = clock.Clock{NowFunc: func() clock.Millis { return m.mono }, WallFunc: func() clock.Millis { return m.wall }}
		w.members = append(w.members, m)
	}
	return w
}

func (w *world) advance(d clock.Millis) {
	w.now += d
	for _, m := range w.members {
		m.mono += d
		m.wall += d
	}
}

// promptly runs the calls that f starts to their ends.
func (w *world) promptly(f func()) {
	waiting := w.calls
	w.calls = nil
	f()
	for len(w.calls) > 0 {
		call := w.calls[0]
		w.calls = w.calls[1:]
		call()
	}
	w.calls = waiting
}

func (w *world) setCut(m *model, cut bool) {
	m.cut = cut
	if cut {
		m.fresh.NotReached()
	}
}

// poll sends a read of the head, which is answered and delivered in two later steps.
func (w *world) poll(m *model) {
	if m.cut {
		m.fresh.NotReached()
		return
	}
	sent, life := m.fresh.Clock.Mark(), m.life
	w.calls = append(w.calls, func() {
		head := w.head
		w.calls = append(w.calls, func() {
			if !m.dead && m.life == life {
				m.held = max(m.held, head)
				m.fresh.Reached(sent, head, m.held)
			}
		})
	})
}

// ask sends a question to a peer. The answer also carries the peer's configuration.
func (w *world) ask(m, to *model, r *peer.Round) {
	sent, life := m.fresh.Clock.Mark(), m.life
	w.calls = append(w.calls, func() {
		if to.dead {
			return
		}
		s, held := to.fresh.Statement(to.held), to.held
		w.calls = append(w.calls, func() {
			if m.dead || m.life != life {
				return
			}
			if r != nil {
				r.Answer(to.id, s)
			} else {
				m.held = max(m.held, held)
			}
			m.fresh.Asked(sent, s, m.held)
		})
	})
}

// accept submits a change. The write takes effect in one step and the answer arrives in
// another; either may be lost, and a lost answer leaves the outcome open. A write takes no
// effect a minute after it was sent, or after its sender stopped.
func (w *world) accept(m *model, lost bool) {
	base, life, begun := w.head, m.life, w.now
	m.fresh.BeginAccept()
	w.calls = append(w.calls, func() {
		ok := w.head == base && !m.dead && m.life == life && w.now-begun <= 60_000
		if ok {
			w.head++
			w.changed[w.head] = w.now
		}
		w.calls = append(w.calls, func() {
			if ok && !lost && !m.dead && m.life == life {
				m.held = max(m.held, base+1)
				m.fresh.EndAccept(base+1, 0)
			}
		})
	})
	if lost { // the member gives up before the write takes effect
		m.fresh.EndAccept(0, base+1)
	}
}

// restart gives m a new process, which knows nothing.
func (m *model) restart() {
	m.fresh, m.held, m.rounds = peer.Freshness{Clock: m.fresh.Clock}, 0, nil
	m.life++
}

func (w *world) startRound(m *model) {
	var list []peer.Member
	for _, o := range w.members {
		list = append(list, peer.Member{ID: o.id, Gone: o.dead && m.gone, GoneSince: m.goneSince})
	}
	r := m.fresh.StartRound(m.fresh.Clock.Mark(), m.id, peer.Roster{Members: list, Read: m.fresh.Clock.Mark(), Known: true})
	m.rounds = append(m.rounds, r)
	for _, o := range w.members {
		if r.Ask()[o.id] {
			w.ask(m, o, r)
		}
	}
}

func (w *world) endRound(m *model) {
	if len(m.rounds) == 0 {
		return
	}
	r := m.rounds[0]
	m.rounds = m.rounds[1:]
	if m.fresh.EndRound(r, m.held) {
		m.unanimous++
	}
}

// step makes one random move.
func (w *world) step(t *rapid.T) {
	member := rapid.SampledFrom(w.members)
	m := member.Draw(t, "member")
	prompt := func(f func()) {
		if rapid.Bool().Draw(t, "prompt") {
			w.promptly(f)
		} else {
			f()
		}
	}
	switch step := rapid.IntRange(0, 20).Draw(t, "step"); {
	case step < 5 && len(w.calls) > 0:
		i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
		call := w.calls[i]
		w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
		if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
			call()
		}
	case step < 8:
		w.advance(clock.Millis(rapid.IntRange(1, 2500).Draw(t, "ms")))
	case m.dead:
		for _, o := range w.members { // the list shows it gone after a lag
			if !o.gone {
				o.gone, o.goneSince = true, o.fresh.Clock.Mark()
			}
		}
	case step < 10:
		prompt(func() { w.poll(m) })
	case step < 12:
		prompt(func() { w.ask(m, member.Draw(t, "peer"), nil) })
	case step < 14:
		prompt(func() { w.startRound(m) })
	case step < 16:
		w.endRound(m)
	case step == 16:
		w.accept(m, rapid.Bool().Draw(t, "lost"))
	case step == 17:
		w.setCut(m, !m.cut)
	case step == 18: // an outage of the table service begins or ends
		cut := rapid.Bool().Draw(t, "cut")
		for _, o := range w.members {
			w.setCut(o, cut)
		}
	case step == 19:
		w.jump(m, clock.Millis(rapid.IntRange(1, 5000).Draw(t, "jump")))
	case rapid.Bool().Draw(t, "restart"):
		m.restart()
	default:
		w.die(m)
	}
}

// jump sets the wall clock of m, or pauses m with its monotonic clock.
func (w *world) jump(m *model, d clock.Millis) {
	if m.dropsWallTime {
		m.wall += 2*d - 5000
		return
	}
	w.advance(d)
	m.mono -= d
}

// die ends m for good. Only one member dies in a run, so that one list entry tells it.
func (w *world) die(m *model) {
	for _, o := range w.members {
		if o.dead {
			return
		}
	}
	m.dead = len(w.members) > 2
}

// check fails if a member takes a configuration for fresh that misses a change accepted more
// than the bound ago.
func (w *world) check(t *rapid.T) {
	for _, m := range w.members {
		age, ok := m.fresh.Age(m.held)
		if at, missed := w.changed[m.held+1]; missed && ok && age <= bound && !m.dead && w.now-at > bound {
			t.Fatalf("%s holds version %d with age %d, but the next was accepted %d ms ago", m.id, m.held, age, w.now-at)
		}
	}
}

// Guards against a withdrawn key being accepted for longer than the bound, because a member
// takes its configuration for fresh after a change that it does not know.
func TestFreshnessNeverMissesAnOldChange(t *testing.T) {
	unanimous := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 4).Draw(t, "members"))
		for _, m := range w.members {
			m.fresh.Reached(m.fresh.Clock.Mark(), 0, 0)
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step(t)
			w.check(t)
		}
		for _, m := range w.members {
			unanimous += m.unanimous
		}
	})
	must.Positive(t, unanimous, must.Sprint("no run reached unanimity"))
}

// Guards against unanimity lasting until a member unknown to this one may accept changes.
func TestUnanimityEndsBeforeNewMembersAccept(t *testing.T) {
	for _, tc := range []struct {
		silent clock.Millis // since the last read of the member list
		known  bool
		want   bool
	}{
		{silent: 0, known: true, want: true},
		{silent: 3_539_999, known: true, want: true},
		{silent: 3_540_000, known: true, want: false},
		{silent: 0, known: false, want: false},
	} {
		m := newWorld(1).members[0]
		m.fresh.Reached(m.fresh.Clock.Mark(), 0, 0)
		m.fresh.NotReached()
		read := m.fresh.Clock.Mark()
		m.mono += tc.silent // as after a wall clock that was set back
		r := m.fresh.StartRound(m.fresh.Clock.Mark(), m.id, peer.Roster{Members: []peer.Member{{ID: m.id}}, Read: read, Known: tc.known})
		must.Eq(t, tc.want, m.fresh.EndRound(r, 0))
	}
}

// Guards against a member that is not registered confirming by unanimity.
func TestUnanimityNeedsRegistration(t *testing.T) {
	m := newWorld(1).members[0]
	m.fresh.Reached(m.fresh.Clock.Mark(), 0, 0)
	m.fresh.NotReached()
	r := m.fresh.StartRound(m.fresh.Clock.Mark(), m.id, peer.Roster{Read: m.fresh.Clock.Mark(), Known: true})
	must.False(t, m.fresh.EndRound(r, 0))
}
