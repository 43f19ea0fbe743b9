package rowstore

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
)

// EscrowTerm is the time after its last renewal until which a member may start requests of teams
// with limits. It is long, so that a zone that is cut off from the store serves for an hour.
const EscrowTerm clock.Millis = 3_600_000

// EscrowDrift is the time that an observer waits beyond a term of an hour. It covers clocks
// whose rates differ by one in a thousand.
const EscrowDrift clock.Millis = 3600

// Member is an entry instance as registered in the table service.
type Member struct {
	ID           fleet.MemberID
	Zone         fleet.ZoneID
	CallerAddr   string
	OperatorAddr string
	PeerAddr     string
	Epoch        fleet.Version // the list version at which this process registered
	Acknowledged fleet.Version // the newest list version that it has read
}

type wireMember struct {
	Zone         string `json:"zone"`
	CallerAddr   string `json:"caller_addr,omitempty"`
	OperatorAddr string `json:"operator_addr,omitempty"`
	PeerAddr     string `json:"peer_addr,omitempty"`
	Epoch        uint64 `json:"epoch"`
	Renewals     uint64 `json:"renewals"`
	Acknowledged uint64 `json:"acknowledged"`
	Attempt      string `json:"attempt"`
}

// wireMemberList is the row that counts registrations. It has a table of its own, because
// every key of the table members is a member id.
type wireMemberList struct {
	Version uint64 `json:"version"`
}

var memberListRef = Ref{Table: "member_list", Key: "head"}

func memberRef(id fleet.MemberID) Ref { return Ref{Table: "members", Key: string(id)} }

func encodeMember(m Member, renewals uint64, attempt string) []byte {
	// A struct of strings and numbers always encodes.
	text, _ := json.Marshal(wireMember{
		Zone: string(m.Zone), CallerAddr: m.CallerAddr, OperatorAddr: m.OperatorAddr, PeerAddr: m.PeerAddr,
		Epoch: uint64(m.Epoch), Renewals: renewals, Acknowledged: uint64(m.Acknowledged), Attempt: attempt,
	})
	return text
}

// memberRow is a row of the table members.
type memberRow struct {
	Member
	version  fleet.Version
	renewals uint64
	attempt  string
}

func decodeMember(r Row) (memberRow, error) {
	var w wireMember
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return memberRow{}, eris.Wrapf(err, "rowstore: member %s", r.Key)
	}
	return memberRow{
		Member: Member{
			ID: fleet.MemberID(r.Key), Zone: fleet.ZoneID(w.Zone), CallerAddr: w.CallerAddr, OperatorAddr: w.OperatorAddr,
			PeerAddr: w.PeerAddr, Epoch: fleet.Version(w.Epoch), Acknowledged: fleet.Version(w.Acknowledged),
		},
		version: r.Version, renewals: w.Renewals, attempt: w.Attempt,
	}, nil
}

// incarnation identifies one process of a member.
type incarnation struct {
	id    fleet.MemberID
	epoch fleet.Version
}

// observation records when a row version was first read.
type observation struct {
	version fleet.Version
	at      clock.Mark
}

// observations measures for how long incarnations have not renewed, by the observer's own clock.
type observations struct {
	rows          map[fleet.MemberID]memberRow
	byIncarnation map[incarnation]observation
}

// observe records all rows of the table members. at is a mark taken after the response.
// Incarnations without a row are dropped after the time keep.
func (s *observations) observe(rows map[fleet.MemberID]memberRow, at clock.Mark, keep clock.Millis) {
	s.rows = rows
	for in, was := range s.byIncarnation {
		if was.version == 0 && at.Now-was.at.Now > keep {
			delete(s.byIncarnation, in)
		}
	}
	for _, r := range rows {
		s.observeIncarnation(incarnation{r.ID, r.Epoch}, at)
	}
	for in := range s.byIncarnation {
		s.observeIncarnation(in, at)
	}
}

// observeIncarnation returns the version of the row of in, and when it was first read. Version 0
// means that in is not registered any more, so that it can never be renewed.
func (s *observations) observeIncarnation(in incarnation, at clock.Mark) observation {
	var version fleet.Version
	if r, ok := s.rows[in.id]; ok && r.Epoch == in.epoch {
		version = r.version
	}
	was, ok := s.byIncarnation[in]
	if !ok || was.version != version {
		was = observation{version: version, at: at}
		if s.byIncarnation == nil {
			s.byIncarnation = map[incarnation]observation{}
		}
		s.byIncarnation[in] = was
	}
	return was
}
