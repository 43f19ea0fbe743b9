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

// maxAge is the age up to which the configuration counts as fresh, in milliseconds.
const maxAge clock.Millis = 3000

// modelFleet models the table service, members with clocks of their own, and calls that are lost
// or delayed.
type modelFleet struct {
	now          clock.Millis                   // actual time
	head         fleet.Version                  // newest accepted version
	acceptedAt   map[fleet.Version]clock.Millis // time at which each version was accepted
	members      []*modelMember
	pendingCalls []func() // steps of calls in progress; a step may append the next step of its call
}

// modelMember is a member of a modelFleet.
type modelMember struct {
	id                        fleet.MemberID
	freshness                 peer.Freshness
	appliedVersion            fleet.Version
	monotonic, boot, wall     clock.Millis
	tableUnreachable, stopped bool
	gone                      bool
	goneSince                 clock.Mark
	restarts                  int
	rounds                    []*peer.Round
	unanimousRounds           int
	// wallClockJumps makes the clock faults of the member jumps of the wall clock, instead of
	// pauses that stop the monotonic clock.
	wallClockJumps bool
}

func newModelFleet(n int) *modelFleet {
	w := &modelFleet{acceptedAt: map[fleet.Version]clock.Millis{}}
	for i := range n {
		m := &modelMember{id: fleet.MemberID(fmt.Sprint("m", i)), monotonic: clock.Millis(1000 * i), boot: 500_000, wall: 1_000_000, wallClockJumps: i%2 == 0}
		m.freshness.Clock = clock.Clock{
			NowFunc: func() clock.Millis { return m.monotonic }, BootFunc: func() clock.Millis { return m.boot }, WallFunc: func() clock.Millis { return m.wall },
		}
		w.members = append(w.members, m)
	}
	return w
}

func (w *modelFleet) advance(d clock.Millis) {
	w.now += d
	for _, m := range w.members {
		m.monotonic += d
		m.boot += d
		m.wall += d
	}
}

// runToCompletion runs f and all steps of the calls that f starts.
func (w *modelFleet) runToCompletion(f func()) {
	earlierCalls := w.pendingCalls
	w.pendingCalls = nil
	f()
	for len(w.pendingCalls) > 0 {
		call := w.pendingCalls[0]
		w.pendingCalls = w.pendingCalls[1:]
		call()
	}
	w.pendingCalls = earlierCalls
}

func (w *modelFleet) setTableUnreachable(m *modelMember, unreachable bool) {
	m.tableUnreachable = unreachable
	if unreachable {
		m.freshness.RecordReadFailure()
	}
}

// readHead starts a read of the newest version. The table service processes it in a second step,
// and the response arrives in a third.
func (w *modelFleet) readHead(m *modelMember) {
	if m.tableUnreachable {
		m.freshness.RecordReadFailure()
		return
	}
	sentAt, restarts := m.freshness.Clock.Mark(), m.restarts
	w.pendingCalls = append(w.pendingCalls, func() {
		head := w.head
		w.pendingCalls = append(w.pendingCalls, func() {
			if !m.stopped && m.restarts == restarts {
				m.appliedVersion = max(m.appliedVersion, head)
				m.freshness.RecordRead(sentAt, head, m.appliedVersion)
			}
		})
	})
}

// requestStatus starts a request for the status of a peer. Outside a round the response also
// carries the peer's configuration.
func (w *modelFleet) requestStatus(m, to *modelMember, round *peer.Round) {
	requestedAt, restarts := m.freshness.Clock.Mark(), m.restarts
	w.pendingCalls = append(w.pendingCalls, func() {
		if to.stopped {
			return
		}
		status, appliedVersion := to.freshness.Status(to.appliedVersion), to.appliedVersion
		w.pendingCalls = append(w.pendingCalls, func() {
			if m.stopped || m.restarts != restarts {
				return
			}
			if round != nil {
				round.RecordStatus(to.id, status)
			} else {
				m.appliedVersion = max(m.appliedVersion, appliedVersion)
			}
			m.freshness.RecordPeerStatus(requestedAt, status, m.appliedVersion)
		})
	})
}

// submit submits a change. The write takes effect in one step, and the response arrives in
// another. Either may be lost, and a lost response leaves the outcome unknown. A write has no
// effect if it is applied more than a minute after it was sent, or after its sender stopped.
func (w *modelFleet) submit(m *modelMember, lostResponse bool) {
	base, restarts, sentAt := w.head, m.restarts, w.now
	m.freshness.BeginSubmission()
	w.pendingCalls = append(w.pendingCalls, func() {
		accepted := w.head == base && !m.stopped && m.restarts == restarts && w.now-sentAt <= 60_000
		if accepted {
			w.head++
			w.acceptedAt[w.head] = w.now
		}
		w.pendingCalls = append(w.pendingCalls, func() {
			if accepted && !lostResponse && !m.stopped && m.restarts == restarts {
				m.appliedVersion = max(m.appliedVersion, base+1)
				m.freshness.EndSubmission(base+1, 0)
			}
		})
	})
	if lostResponse { // the submission times out before the write takes effect
		m.freshness.EndSubmission(0, base+1)
	}
}

// restart replaces the process of m by one without any records.
func (m *modelMember) restart() {
	m.freshness, m.appliedVersion, m.rounds = peer.Freshness{Clock: m.freshness.Clock}, 0, nil
	m.restarts++
}

func (w *modelFleet) startRound(m *modelMember) {
	var roster []peer.Member
	for _, o := range w.members {
		roster = append(roster, peer.Member{ID: o.id, Gone: o.stopped && m.gone, GoneSince: m.goneSince})
	}
	r := m.freshness.StartRound(m.freshness.Clock.Mark(), m.id, peer.Roster{Members: roster, ReadAt: m.freshness.Clock.Mark(), HasRead: true})
	m.rounds = append(m.rounds, r)
	for _, o := range w.members {
		if r.Pending()[o.id] {
			w.requestStatus(m, o, r)
		}
	}
}

func (w *modelFleet) endRound(m *modelMember) {
	if len(m.rounds) == 0 {
		return
	}
	r := m.rounds[0]
	m.rounds = m.rounds[1:]
	if m.freshness.EndRound(r, m.appliedVersion) {
		m.unanimousRounds++
	}
}

// step performs one random action.
func (w *modelFleet) step(t *rapid.T) {
	member := rapid.SampledFrom(w.members)
	m := member.Draw(t, "member")
	maybeRunToCompletion := func(f func()) {
		if rapid.Bool().Draw(t, "prompt") {
			w.runToCompletion(f)
		} else {
			f()
		}
	}
	switch step := rapid.IntRange(0, 20).Draw(t, "step"); {
	case step < 5 && len(w.pendingCalls) > 0:
		i := rapid.IntRange(0, len(w.pendingCalls)-1).Draw(t, "call")
		call := w.pendingCalls[i]
		w.pendingCalls = append(w.pendingCalls[:i:i], w.pendingCalls[i+1:]...)
		if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
			call()
		}
	case step < 8:
		w.advance(clock.Millis(rapid.IntRange(1, 2500).Draw(t, "ms")))
	case m.stopped:
		for _, o := range w.members { // the list of instances shows that it is gone, after a delay
			if !o.gone {
				o.gone, o.goneSince = true, o.freshness.Clock.Mark()
			}
		}
	case step < 10:
		maybeRunToCompletion(func() { w.readHead(m) })
	case step < 12:
		maybeRunToCompletion(func() { w.requestStatus(m, member.Draw(t, "peer"), nil) })
	case step < 14:
		maybeRunToCompletion(func() { w.startRound(m) })
	case step < 16:
		w.endRound(m)
	case step == 16:
		w.submit(m, rapid.Bool().Draw(t, "lost"))
	case step == 17:
		w.setTableUnreachable(m, !m.tableUnreachable)
	case step == 18: // an outage of the table service begins or ends
		unreachable := rapid.Bool().Draw(t, "cut")
		for _, o := range w.members {
			w.setTableUnreachable(o, unreachable)
		}
	case step == 19:
		w.clockFault(m, clock.Millis(rapid.IntRange(1, 5000).Draw(t, "jump")))
	case rapid.Bool().Draw(t, "restart"):
		m.restart()
	default:
		w.stop(m)
	}
}

// clockFault moves the wall clock of m, or pauses m and its monotonic clock for d.
func (w *modelFleet) clockFault(m *modelMember, d clock.Millis) {
	if m.wallClockJumps {
		m.wall += 2*d - 5000
		return
	}
	w.advance(d)
	m.monotonic -= d
}

// stop ends m permanently. Only one member stops in a run, so that the fields gone and goneSince
// of each member refer to it.
func (w *modelFleet) stop(m *modelMember) {
	for _, o := range w.members {
		if o.stopped {
			return
		}
	}
	m.stopped = len(w.members) > 2
}

// check fails if the configuration of a member counts as fresh but misses a change accepted more
// than maxAge ago.
func (w *modelFleet) check(t *rapid.T) {
	for _, m := range w.members {
		age, ok := m.freshness.Age(m.appliedVersion)
		if acceptedAt, missed := w.acceptedAt[m.appliedVersion+1]; missed && ok && age <= maxAge && !m.stopped && w.now-acceptedAt > maxAge {
			t.Fatalf("%s counts version %d as fresh with age %d ms, but the next version was accepted %d ms ago", m.id, m.appliedVersion, age, w.now-acceptedAt)
		}
	}
}

// Guards against a revoked key being accepted for longer than maxAge, because the configuration
// of a member counts as fresh after a change that the member has not applied.
func TestFreshnessNeverMissesOldChange(t *testing.T) {
	unanimous := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newModelFleet(rapid.IntRange(2, 4).Draw(t, "members"))
		for _, m := range w.members {
			m.freshness.RecordRead(m.freshness.Clock.Mark(), 0, 0)
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step(t)
			w.check(t)
		}
		for _, m := range w.members {
			unanimous += m.unanimousRounds
		}
	})
	must.Positive(t, unanimous, must.Sprint("no run reached unanimity"))
}

// Guards against unanimity remaining valid when a member that is not in the roster of this one
// can already submit changes.
func TestUnanimityExpiresBeforeNewMembersSubmit(t *testing.T) {
	for _, tc := range []struct {
		sinceRosterRead clock.Millis // time since the last read of the roster
		known           bool
		want            bool
	}{
		{sinceRosterRead: 0, known: true, want: true},
		{sinceRosterRead: 3_539_999, known: true, want: true},
		{sinceRosterRead: 3_540_000, known: true, want: false},
		{sinceRosterRead: 0, known: false, want: false},
	} {
		m := newModelFleet(1).members[0]
		m.freshness.RecordRead(m.freshness.Clock.Mark(), 0, 0)
		m.freshness.RecordReadFailure()
		read := m.freshness.Clock.Mark()
		m.monotonic += tc.sinceRosterRead
		r := m.freshness.StartRound(m.freshness.Clock.Mark(), m.id, peer.Roster{Members: []peer.Member{{ID: m.id}}, ReadAt: read, HasRead: tc.known})
		must.Eq(t, tc.want, m.freshness.EndRound(r, 0))
	}
}

// Guards against an unregistered member confirming its configuration by unanimity.
func TestUnanimityRequiresRegistration(t *testing.T) {
	m := newModelFleet(1).members[0]
	m.freshness.RecordRead(m.freshness.Clock.Mark(), 0, 0)
	m.freshness.RecordReadFailure()
	r := m.freshness.StartRound(m.freshness.Clock.Mark(), m.id, peer.Roster{ReadAt: m.freshness.Clock.Mark(), HasRead: true})
	must.False(t, m.freshness.EndRound(r, 0))
}
