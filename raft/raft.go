package raft

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	_defaultElectionTimeout   = 500 * time.Millisecond
	_defaultHeartbeatInterval = 100 * time.Millisecond
	_maxAppendEntries         = 256
	_maxInflightEntries       = 1024 // unacknowledged entries per follower
	// _maxAppendBytes bounds one message, and _maxInflightBytes what a follower has not
	// acknowledged: heartbeats, votes and other groups wait behind it, on the wire and for
	// the disk.
	_maxAppendBytes   = 256 << 10
	_maxInflightBytes = 1 << 20

	// _resendHeartbeats is the number of heartbeats without progress of a follower after
	// which unacknowledged entries are sent again.
	_resendHeartbeats = 3

	// _startupTimeoutDivisor shortens the first election timeout after a start.
	_startupTimeoutDivisor = 3

	// _removalTimeouts is the number of election timeouts after which a silent
	// surplus voter is removed. A restart takes less time.
	_removalTimeouts = 5

	// _replacementTimeouts is the number of election timeouts after which a silent voter
	// is removed for a learner that has caught up. A host that was lost must not delay the
	// learner, also under a new leader, which has heard from nobody.
	_replacementTimeouts = 1

	// _quietHeartbeats is the number of heartbeats without a reply after which a voter may
	// be lost.
	_quietHeartbeats = 2

	// _silentLearnerTimeouts is the number of election timeouts after which a silent learner
	// is removed. As much time passes until a snapshot is sent again.
	_silentLearnerTimeouts = 60

	// _installRetryTimeouts is the number of election timeouts after which an
	// unacknowledged snapshot is sent again.
	_installRetryTimeouts = 60
)

// Role is the current role of a replica.
type Role uint8

const (
	// Follower replicates the leader's log.
	Follower Role = iota
	// Candidate requests votes in an election.
	Candidate
	// Leader appends proposals to the log and replicates them.
	Leader
)

// Config sets a replica's identity and timing; zero durations use the defaults.
type Config struct {
	ID                uint64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// TargetVoters is the intended number of voters. Silent voters in excess of
	// it are removed; 0 disables removal.
	TargetVoters int
	// Async is set if the caller handles messages while a write is under way, with a
	// Pipeline. The leader's own copy of an entry counts from its SavedMsg on then.
	Async bool
}

// Model is the state of one replica. It is not safe for concurrent use.
type Model struct {
	cfg        Config
	now        time.Duration
	tickedAt   time.Duration // of the last TickMsg; what is handled now has come since
	role       Role
	term       uint64
	vote       uint64
	leader     uint64
	leaderPeer Peer // the leader as it described itself, or zero
	sender     Peer // of the message that is handled, as it described itself
	log        *log
	commit     uint64
	saved      uint64 // with Config.Async: the log is synced up to this index
	peers      []Peer
	peersIndex uint64 // index of the latest peer list
	lineage    uint64 // of the latest peer list

	deadline      time.Duration // of the election timeout
	leaderContact time.Duration // time of the last message from a leader
	leaderCommit  uint64        // highest commit that a leader has told
	preVote       bool
	votes         map[uint64]bool
	nextHeartbeat time.Duration // due time
	beatCommit    uint64        // the leader's commit at its previous heartbeat
	round         uint64
	followers     map[uint64]*follower
	reads         []read
	termStart     uint64        // index of the first entry of the leader's term
	transferUntil time.Duration // end of the current leadership transfer
	transferee    uint64        // replica that was sent an Elect
	electSentAt   time.Duration // when it was sent
}

// follower is the leader's replication progress for another replica.
type follower struct {
	match          uint64
	next           uint64
	round          uint64
	addedRound     uint64        // the leader's latest round when it began to track the follower
	lastReply      time.Duration // no later than the last reply came; limits how long the leader is current
	heardAt        time.Duration // when the last reply was handled, and later by what this replica stood still
	snapshotSent   time.Duration // time of the last snapshot, 0 if none is pending
	snapshotRound  uint64        // round of the last snapshot
	snapshotMissed bool          // a later round was acknowledged without the snapshot
	heartbeatMatch uint64        // match at the previous heartbeat
	stuckBeats     int           // heartbeats since match last grew
}

// read is a read that awaits confirmation by a quorum.
type read struct {
	id    uint64
	round uint64
	index uint64
}

// New returns a replica with the state loaded from its data folder.
func New(cfg Config, s State) Model {
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = _defaultElectionTimeout
	}
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = _defaultHeartbeatInterval
	}
	m := Model{
		cfg:           cfg,
		term:          s.Term,
		vote:          s.Vote,
		log:           &log{snapshot: s.Snapshot, entries: s.Entries},
		commit:        s.Snapshot.Index,
		leaderContact: -cfg.ElectionTimeout,
	}
	m.saved = m.log.last()
	m.reloadPeers()
	// A replica that has just started knows no leader, so it campaigns early. If
	// a leader exists, the replicas that hear from it ignore the pre-vote.
	m.deadline = m.electionTimeout() / _startupTimeoutDivisor
	return m
}

// Role returns the current role of the replica.
func (m Model) Role() Role { return m.role }

// Term returns the replica's current term.
func (m Model) Term() uint64 { return m.term }

// Leader returns the ID of the leader, or 0 if it is unknown.
func (m Model) Leader() uint64 { return m.leader }

// LeaderPeer returns the leader with its address, also if it is not in the peer list yet,
// and reports whether it is known.
func (m Model) LeaderPeer() (Peer, bool) {
	if m.leader == 0 {
		return Peer{}, false
	}
	return m.address(m.leader, m.leaderPeer), true
}

// Commit returns the highest index known to be committed.
func (m Model) Commit() uint64 { return m.commit }

// Last returns the index of the last entry of the log.
func (m Model) Last() uint64 { return m.log.last() }

// First returns the index of the first entry after the snapshot.
func (m Model) First() uint64 { return m.log.first() }

// Lineage returns the number of the rescue that the replica's log descends
// from, or 0 if its group was never rescued.
func (m Model) Lineage() uint64 { return m.lineage }

// Peers returns the latest peer list, which the caller must not modify.
func (m Model) Peers() []Peer { return m.peers }

// Update handles one message and returns the commands for the caller to execute.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	var cmds []Cmd
	switch msg := msg.(type) {
	case TickMsg:
		cmds = m.tick(msg.At)
	case ClockMsg:
		m.advance(msg.At)
	case ReceiveMsg:
		cmds = m.receive(msg)
	case ProposeMsg:
		cmds = m.propose(msg)
	case ReadMsg:
		cmds = m.read(msg)
	case SavedMsg:
		cmds = m.onSaved(msg)
	case CompactMsg:
		cmds = m.compact(msg)
	case BootstrapMsg:
		cmds = m.bootstrap(msg.Peer)
	case AddPeerMsg:
		cmds = m.addPeer(msg.Peer)
	case RemovePeerMsg:
		cmds = m.removePeer(msg.ID)
	case TransferMsg:
		cmds = m.transfer()
	}
	return m, cmds
}

// advance sets the clock. A replica that stood still past its next tick has heard nobody
// meanwhile: that time does not count as the silence of the others.
func (m *Model) advance(now time.Duration) {
	if now <= m.now {
		return
	}
	late := now - m.NextTick()
	m.now = now
	if late <= 0 {
		return
	}
	for _, f := range m.followers {
		f.heardAt += late
	}
	if m.role == Follower && m.leader != 0 && late > m.cfg.HeartbeatInterval {
		// What the leader has sent meanwhile may still be on its way to this replica.
		m.deadline = max(m.deadline, now+m.cfg.HeartbeatInterval)
	}
}

func (m *Model) tick(now time.Duration) []Cmd {
	m.advance(now)
	m.tickedAt = now
	if m.role == Leader {
		return m.leaderTick()
	}
	if now < m.deadline {
		return nil
	}
	if !m.isVoter(m.cfg.ID) {
		if m.role == Follower && m.leader != 0 {
			// It does not campaign, but knows that it may be in nobody's list any more.
			return m.becomeFollower(m.term, 0)
		}
		return nil
	}
	return m.campaign(true, false)
}

// NextTick returns when the model needs its next TickMsg, unless another message comes
// first.
func (m Model) NextTick() time.Duration {
	switch contactEnds := m.leaderContact + m.cfg.ElectionTimeout; {
	case m.role == Leader:
		return m.nextHeartbeat
	case m.leader != 0 && m.now < contactEnds:
		return min(contactEnds, m.deadline)
	case !m.isVoter(m.cfg.ID):
		return m.now + m.cfg.ElectionTimeout
	}
	return m.deadline
}

func (m *Model) receive(msg ReceiveMsg) []Cmd {
	m.sender = Peer{ID: msg.From, Name: msg.Name, Addr: msg.Addr}
	if msg.Lineage < m.lineage && isRequest(msg.Body) {
		return []Cmd{SendCmd{To: m.sender, Body: Superseded{Lineage: m.lineage}}}
	}
	switch body := msg.Body.(type) {
	case Vote:
		return m.onVote(msg.From, body)
	case VoteReply:
		return m.onVoteReply(msg.From, body)
	case Append:
		return m.onAppend(msg.From, body)
	case AppendReply:
		return m.onAppendReply(msg.From, body)
	case Install:
		return m.onInstall(msg.From, body)
	case Elect:
		if body.Term == m.term && m.isVoter(m.cfg.ID) {
			return m.campaign(false, true)
		}
	case Superseded:
		if body.Lineage > m.lineage {
			return []Cmd{SupersededCmd(body)}
		}
	}
	return nil
}

// becomeFollower becomes a follower in the given term and refuses pending reads.
func (m *Model) becomeFollower(term, leader uint64) []Cmd {
	var cmds []Cmd
	if term > m.term {
		m.term = term
		m.vote = 0
		cmds = append(cmds, m.save(nil))
	}
	if m.role != Follower || m.leader != leader {
		cmds = append(cmds, LeaderCmd{Leader: leader, Term: m.term})
	}
	for _, r := range m.reads {
		cmds = append(cmds, RefusedCmd{ID: r.id})
	}
	m.reads = nil
	m.role = Follower
	m.leader = leader
	m.followers = nil
	m.transferUntil = 0
	m.deadline = m.now + m.electionTimeout()
	return cmds
}

func (m *Model) save(entries []Entry) Cmd {
	return SaveCmd{Term: m.term, Vote: m.vote, Entries: entries}
}

// electionTimeout returns the election timeout with a jitter derived from the
// replica's ID and term, which keeps the model deterministic.
func (m *Model) electionTimeout() time.Duration {
	seed := [16]byte{}
	for i := range 8 {
		seed[i] = byte(m.cfg.ID >> (8 * i))
		seed[8+i] = byte(m.term >> (8 * i))
	}
	jitter := xxhash.Sum64(seed[:]) % uint64(m.cfg.ElectionTimeout)
	return m.cfg.ElectionTimeout + time.Duration(jitter)
}

func (m *Model) send(to uint64, body any) []Cmd {
	return []Cmd{SendCmd{To: m.address(to, m.sender), Body: body}}
}

// address returns a replica's entry in the peer list. The list of a replica that is behind
// may lack those that it hears from: then they are addressed as they described themselves.
func (m *Model) address(id uint64, described Peer) Peer {
	for _, p := range m.peers {
		if p.ID == id {
			return p
		}
	}
	if described.ID == id {
		return described
	}
	return Peer{ID: id}
}

func (m *Model) isVoter(id uint64) bool {
	for _, p := range m.peers {
		if p.ID == id {
			return !p.Learner
		}
	}
	return false
}

// hasQuorum reports whether a majority of the voters satisfies the condition.
func (m *Model) hasQuorum(holds func(id uint64) bool) bool {
	voters, yes := 0, 0
	for _, p := range m.peers {
		if p.Learner {
			continue
		}
		voters++
		if holds(p.ID) {
			yes++
		}
	}
	return voters > 0 && yes > voters/2
}
