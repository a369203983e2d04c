//! Replication of the log from the leader to its followers, and the commit index that follows from it.

use super::{Member, Message, Role, MAX_APPEND_BYTES};
use crate::log::{Entry, Payload, Snapshot};
use crate::{LogPosition, MemberId, Millis};

impl Member {
    /// Appends an entry, as leader. Returns its position, or `None` if this replica is not the leader.
    pub fn propose(&mut self, now: Millis, data: Vec<u8>) -> Option<LogPosition> {
        (self.role == Role::Leader).then(|| {
            let position = self.append_local(Payload::Data(data));
            self.replicate_to_all(now);
            position
        })
    }

    /// Appends an entry of the current term to the leader's own log.
    pub(super) fn append_local(&mut self, payload: Payload) -> LogPosition {
        let entry = Entry { term: self.hard_state.term, index: self.log.last_position().1 + 1, payload };
        let position = (entry.term, entry.index);
        self.unsaved_entries.push(entry.clone());
        self.log.append(entry);
        position
    }

    /// Sends all other members and learners the entries that they lack.
    pub(super) fn replicate_to_all(&mut self, now: Millis) {
        for id in self.replication_targets() {
            self.send_append(now, id, false);
        }
    }

    /// Sends a peer the entries or the snapshot chunk it lacks, unless they are in flight already. In that
    /// case, and if it lacks nothing, `even_empty` sends a heartbeat. Anything in flight for two election
    /// timeouts is sent again.
    pub(super) fn send_append(&mut self, now: Millis, id: MemberId, even_empty: bool) {
        let last = self.log.last_position().1;
        let (term, commit) = (self.hard_state.term, self.commit_index);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let in_flight = peer.in_flight.is_some_and(|(at, _)| now < at + 2 * self.options.election_timeout);
        if !even_empty && (in_flight || peer.next_index > last) {
            return;
        }
        peer.last_sent = now;
        // Each message has its own round, so that responses can be ordered.
        self.round += 1;
        let round = self.round;
        if in_flight {
            // Sending the same entries repeatedly would saturate a slow link.
            let previous = self.log.term(peer.match_index).map_or((0, 0), |term| (term, peer.match_index));
            self.send(id, Message::AppendEntries { term, previous, entries: Vec::new(), commit, round });
            return;
        }
        if peer.next_index <= last || self.log.term(peer.next_index.max(1) - 1).is_none() {
            peer.in_flight = Some((now, round));
        }
        let next = peer.next_index.max(1);
        let message = match self.log.term(next - 1) {
            Some(previous) => {
                let entries = self.log.entries_from(next, MAX_APPEND_BYTES);
                Message::AppendEntries { term, previous: (previous, next - 1), entries, commit, round }
            }
            None => {
                let Snapshot { last, members, data } = &self.log.snapshot;
                if peer.snapshot_progress.0 != *last {
                    peer.snapshot_progress = (*last, 0);
                }
                peer.installing = true;
                let from = (peer.snapshot_progress.1 as usize).min(data.len());
                let chunk =
                    data[from..(from + self.options.snapshot_chunk_bytes.max(1)).min(data.len())].to_vec();
                Message::InstallSnapshot {
                    term,
                    last: *last,
                    members: members.clone(),
                    offset: from as u64,
                    chunk,
                    total: data.len() as u64,
                    checksum: crc32fast::hash(data),
                    round,
                }
            }
        };
        self.send(id, message);
    }

    /// Accepts a message of the current or a later term as a leader's, and rejects one of an earlier term.
    pub(super) fn accept_leader(&mut self, now: Millis, from: MemberId, term: u64, round: u64) -> bool {
        if term < self.hard_state.term {
            let (term, quorum_eligible) = (self.hard_state.term, false);
            self.send(
                from,
                Message::AppendResponse { term, accepted: false, match_index: 0, round, quorum_eligible },
            );
            return false;
        }
        self.become_follower(now, term, Some(from));
        self.reset_deadline(now);
        // Responses carry the newest round accepted so far. The response to a delayed message is then no newer
        // than the one before it, and the leader does not take its lower match index for a rolled-back disk.
        self.latest_leader_round = self.latest_leader_round.max((term, round));
        true
    }

    /// Appends a leader's entries, if they continue this replica's log, and acknowledges them.
    pub(super) fn handle_append_entries(
        &mut self,
        from: MemberId,
        previous: LogPosition,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let term = self.hard_state.term;
        let accepted =
            previous.1 < self.log.first_index() - 1 || self.log.term(previous.1) == Some(previous.0);
        if !accepted {
            let match_index =
                self.log.last_position().1.min(previous.1.saturating_sub(1)).max(self.commit_index);
            let quorum_eligible = self.is_quorum_eligible();
            self.send(
                from,
                Message::AppendResponse { term, accepted: false, match_index, round, quorum_eligible },
            );
            return;
        }
        if !entries.is_empty() && self.write_backlog_full() {
            return; // the leader sends them again
        }
        let mut match_index = previous.1;
        for entry in entries {
            match_index = entry.index;
            if entry.index < self.log.first_index() || self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            self.unsaved_entries.retain(|other| other.index < entry.index);
            self.unsaved_entries.push(entry.clone());
            self.persisted_index = self.persisted_index.min(entry.index - 1);
            self.log.append(entry);
            self.members = self.log.members();
        }
        self.finish_catch_up();
        self.commit_index = self.commit_index.max(commit.min(match_index));
        let quorum_eligible = self.is_quorum_eligible();
        self.send(
            from,
            Message::AppendResponse { term, accepted: true, match_index, round, quorum_eligible },
        );
    }

    /// Updates a peer's progress from its acknowledgement or rejection, and sends what it lacks next.
    pub(super) fn handle_append_response(
        &mut self,
        now: Millis,
        from: MemberId,
        accepted: bool,
        match_index: u64,
        round: u64,
        quorum_eligible: bool,
    ) {
        let last = self.log.last_position().1;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.last_heard = now;
        if quorum_eligible && !peer.quorum_eligible {
            peer.match_index = 0;
        }
        peer.quorum_eligible = quorum_eligible;
        if !quorum_eligible {
            peer.match_index = 0; // its earlier acknowledgements are void, since its disk may be lost
        }
        // Links preserve order: a peer that answers a later message, but not the one with the entries, never
        // received them.
        let entries_lost = peer.in_flight.is_some_and(|(_, sent)| round > sent);
        if !accepted || match_index >= peer.next_index || entries_lost {
            peer.in_flight = None;
        }
        if accepted {
            if match_index.min(last) >= peer.match_index {
                (peer.match_index, peer.match_round) = (match_index.min(last), round);
            }
            peer.installing &= peer.match_index < self.log.snapshot.last.1;
            peer.next_index = peer.next_index.max(match_index + 1).min(last + 1);
            peer.acked_round = peer.acked_round.max(round);
        } else {
            // The peer's disk was rolled back to an earlier state. Its entries do not count, and neither does
            // the peer, until it has queried the others.
            if quorum_eligible && round > peer.match_round && match_index < peer.match_index {
                (peer.match_index, peer.quorum_eligible) = (0, false);
                let term = self.hard_state.term;
                self.send(from, Message::DistrustDisk { term });
                return;
            }
            peer.next_index = (match_index + 1).min(peer.next_index.saturating_sub(1)).max(1);
        }
        if !accepted || peer.next_index <= last {
            self.send_append(now, from, true);
        }
        self.advance_commit(now);
    }

    /// Advances the commit index, as leader, to the last entry of the current term that is on a majority's
    /// disks.
    pub(super) fn advance_commit(&mut self, now: Millis) {
        if self.role != Role::Leader {
            return;
        }
        let own_index = if self.is_complete_member() { Some(self.persisted_index) } else { None };
        let others = self.other_members();
        let followers = self.replication_targets();
        let counted_peers =
            others.iter().filter_map(|id| self.peers.get(id)).filter(|peer| peer.quorum_eligible);
        let mut match_indexes: Vec<u64> =
            counted_peers.map(|peer| peer.match_index).chain(own_index).collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = match_indexes.get(self.members.len() / 2) else { return };
        // A later leader may still replace an entry of an earlier term even if a majority holds it, so only
        // entries of the current term are committed by counting replicas.
        if index > self.commit_index && self.log.term(index) == Some(self.hard_state.term) {
            self.commit_index = index;
            for id in followers {
                self.send_append(now, id, true); // announces the new commit index at once
            }
        }
    }
}
