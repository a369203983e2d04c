//! The log's way from the leader to the followers, and what is committed by it.

use super::{Member, Message, Role, MOST_BYTES};
use crate::log::{Entry, Payload, Snapshot};
use crate::{LogPosition, MemberId, Millis};

impl Member {
    /// The leader takes an entry. Gives its index and term, or nothing where this machine doesn't lead.
    pub fn propose(&mut self, now: Millis, data: Vec<u8>) -> Option<LogPosition> {
        (self.role == Role::Leader).then(|| {
            let mark = self.push(Payload::Data(data));
            self.spread(now);
            mark
        })
    }

    pub(super) fn push(&mut self, payload: Payload) -> LogPosition {
        let entry = Entry { term: self.hard_state.term, index: self.log.last_position().1 + 1, payload };
        let mark = (entry.term, entry.index);
        self.fresh.push(entry.clone());
        self.log.append(entry);
        mark
    }

    pub(super) fn spread(&mut self, now: Millis) {
        for id in self.followers() {
            self.append(now, id, false);
        }
    }

    /// Sends a peer what it lacks, unless that is on its way already: then, with `even_empty`, a call without entries.
    /// What was on its way for long is sent again.
    pub(super) fn append(&mut self, now: Millis, id: MemberId, even_empty: bool) {
        let last = self.log.last_position().1;
        let (term, commit) = (self.hard_state.term, self.commit);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let out = peer.waiting.is_some_and(|(at, _)| now < at + 2 * self.set.election_timeout);
        if !even_empty && (out || peer.next > last) {
            return;
        }
        peer.sent = now;
        // Each message has a round of its own, so that answers have an order.
        self.round += 1;
        let round = self.round;
        if out {
            // Guards against sending the same again and again on a link that it fills.
            let previous = self.log.term(peer.match_index).map_or((0, 0), |term| (term, peer.match_index));
            self.send(id, Message::AppendEntries { term, previous, entries: Vec::new(), commit, round });
            return;
        }
        if peer.next <= last || self.log.term(peer.next.max(1) - 1).is_none() {
            peer.waiting = Some((now, round));
        }
        let next = peer.next.max(1);
        let message = match self.log.term(next - 1) {
            Some(previous) => {
                let entries = self.log.entries_from(next, MOST_BYTES);
                Message::AppendEntries { term, previous: (previous, next - 1), entries, commit, round }
            }
            None => {
                let Snapshot { last, members, data } = &self.log.snapshot;
                if peer.snapshot.0 != *last {
                    peer.snapshot = (*last, 0);
                }
                peer.installing = true;
                let from = (peer.snapshot.1 as usize).min(data.len());
                let chunk =
                    data[from..(from + self.set.snapshot_chunk_bytes.max(1)).min(data.len())].to_vec();
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

    /// Whether a leader's message is of this term.
    pub(super) fn heed(&mut self, now: Millis, from: MemberId, term: u64, round: u64) -> bool {
        if term < self.hard_state.term {
            let (term, quorum_eligible) = (self.hard_state.term, false);
            self.send(
                from,
                Message::AppendResponse { term, accepted: false, match_index: 0, round, quorum_eligible },
            );
            return false;
        }
        self.follow(now, term, Some(from));
        self.rest(now);
        // Answers have the newest round that was heeded: a message that comes late is answered like the one before it, so that
        // what this machine holds never seems to shrink.
        self.heeded = self.heeded.max((term, round));
        true
    }

    pub(super) fn take(
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
            let match_index = self.log.last_position().1.min(previous.1.saturating_sub(1)).max(self.commit);
            let quorum_eligible = self.is_quorum_eligible();
            self.send(
                from,
                Message::AppendResponse { term, accepted: false, match_index, round, quorum_eligible },
            );
            return;
        }
        if !entries.is_empty() && self.backlogged() {
            return; // the leader sends them again
        }
        let mut match_index = previous.1;
        for entry in entries {
            match_index = entry.index;
            if entry.index < self.log.first_index() || self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            self.fresh.retain(|other| other.index < entry.index);
            self.fresh.push(entry.clone());
            self.written = self.written.min(entry.index - 1);
            self.log.append(entry);
            self.members = self.log.members();
        }
        self.caught_up();
        self.commit = self.commit.max(commit.min(match_index));
        let quorum_eligible = self.is_quorum_eligible();
        self.send(
            from,
            Message::AppendResponse { term, accepted: true, match_index, round, quorum_eligible },
        );
    }

    pub(super) fn appended(
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
        peer.heard = now;
        if quorum_eligible && !peer.quorum_eligible {
            peer.match_index = 0;
        }
        peer.quorum_eligible = quorum_eligible;
        if !quorum_eligible {
            peer.match_index = 0; // its disk is lost: what it told before is void
        }
        // Links keep order: whoever answers what was sent after the entries, and not those, never got them.
        let lost = peer.waiting.is_some_and(|(_, sent)| round > sent);
        if !accepted || match_index >= peer.next || lost {
            peer.waiting = None;
        }
        if accepted {
            if match_index.min(last) >= peer.match_index {
                (peer.match_index, peer.told) = (match_index.min(last), round);
            }
            peer.installing &= peer.match_index < self.log.snapshot.last.1;
            peer.next = peer.next.max(match_index + 1).min(last + 1);
            peer.round = peer.round.max(round);
        } else {
            // Guards against a disk of which an earlier state was put back: what it no longer holds is not counted as there, and
            // it counts for nothing before it has asked the others.
            if quorum_eligible && round > peer.told && match_index < peer.match_index {
                (peer.match_index, peer.quorum_eligible) = (0, false);
                let term = self.hard_state.term;
                self.send(from, Message::DistrustDisk { term });
                return;
            }
            peer.next = (match_index + 1).min(peer.next.saturating_sub(1)).max(1);
        }
        if !accepted || peer.next <= last {
            self.append(now, from, true);
        }
        self.count(now);
    }

    /// Commits what stands on the disks of a majority.
    pub(super) fn count(&mut self, now: Millis) {
        if self.role != Role::Leader {
            return;
        }
        let own = if self.votes_here() { Some(self.written) } else { None };
        let others = self.others();
        let followers = self.followers();
        let there = others.iter().filter_map(|id| self.peers.get(id)).filter(|peer| peer.quorum_eligible);
        let mut marks: Vec<u64> = there.map(|peer| peer.match_index).chain(own).collect();
        marks.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = marks.get(self.members.len() / 2) else { return };
        // Guards against committing by count what a later leader may still replace: entries of this term only.
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
            self.commit = index;
            for id in followers {
                self.append(now, id, true); // the word of it goes at once
            }
        }
    }
}
