//! Snapshots: taken of the user's state, sent in parts in place of entries that the leader has no more, put in place.

use super::{Member, Message, Progress, Role};
use crate::log::Snapshot;
use crate::{LogPosition, MemberId, Millis};

/// A snapshot that a follower is being sent is kept until so many times the usual entries stand behind it: replaced sooner, each
/// transfer would begin anew, and one that is far behind would never catch up.
const HELD: u64 = 16;

impl Member {
    /// Takes a part of a snapshot; the last one puts it in place, if all together are what the leader has.
    pub(super) fn install(
        &mut self,
        from: MemberId,
        (last, members): (LogPosition, Vec<MemberId>),
        (offset, chunk, total, checksum): (u64, Vec<u8>, u64, u32),
        round: u64,
    ) {
        let (term, index) = (self.hard_state.term, last.1);
        // Guards against dropping what stands behind it here, which may have been acknowledged: a log that holds its last entry
        // holds all of it.
        if self.log.term(index) == Some(last.0) {
            self.commit = self.commit.max(index);
        }
        // One that is behind what is committed here brings nothing.
        if index > self.commit {
            // Parts that came before are kept over a change of leaders: the same mark stands for the same state.
            let mut data = match self.coming.take() {
                Some((mark, data)) if mark == last => data,
                _ => Vec::new(),
            };
            if offset == data.len() as u64 {
                data.extend_from_slice(&chunk);
            }
            let received = data.len() as u64;
            // Guards against a state put together wrongly: it begins anew.
            let wrong = received > total || (received == total && crc32fast::hash(&data) != checksum);
            if received < total || wrong {
                let (received, quorum_eligible) =
                    (if wrong { 0 } else { received }, self.is_quorum_eligible());
                self.coming = (!wrong).then_some((last, data));
                self.send(
                    from,
                    Message::SnapshotChunkResponse { term, last, received, round, quorum_eligible },
                );
                return;
            }
            let snapshot = Snapshot { last, members, data };
            self.fresh.clear();
            self.log.restore(snapshot.clone());
            self.members = self.log.members();
            (self.commit, self.written) = (index, index);
            self.placed = Some((snapshot, index + 1));
        }
        self.coming = None;
        self.caught_up();
        let (match_index, quorum_eligible) = (index, self.is_quorum_eligible());
        self.send(
            from,
            Message::AppendResponse { term, accepted: true, match_index, round, quorum_eligible },
        );
    }

    /// A part of a snapshot has arrived: the next one goes.
    pub(super) fn arrived(
        &mut self,
        now: Millis,
        from: MemberId,
        last: LogPosition,
        received: u64,
        round: u64,
        quorum_eligible: bool,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        (peer.heard, peer.quorum_eligible) = (now, quorum_eligible);
        peer.round = peer.round.max(round);
        if !quorum_eligible {
            peer.match_index = 0;
        }
        if peer.snapshot.0 == last {
            peer.snapshot.1 = received;
            peer.waiting = None;
            self.append(now, from, true);
        }
    }

    /// Whether a leader's snapshot took the place of entries that were never applied: the user's state comes from it.
    pub fn take_restored_state(&mut self) -> Option<Vec<u8>> {
        (self.applied < self.log.snapshot.last.1).then(|| {
            self.applied = self.log.snapshot.last.1;
            self.log.snapshot.data.clone()
        })
    }

    /// Whether it is time for a snapshot of the user's state as of the last entry applied: enough entries, or bytes of them, stand
    /// behind the last one. Where a follower is being sent that one it is kept for a while longer.
    pub fn should_snapshot(&self) -> bool {
        let every = self.set.snapshot_after_entries;
        let behind = self.applied.saturating_sub(self.log.snapshot.last.1);
        let full = behind >= every * HELD || self.log.size_bytes() >= self.set.snapshot_after_bytes * 2;
        let due = behind >= every || (behind > 0 && self.log.size_bytes() >= self.set.snapshot_after_bytes);
        due && (full || !self.installing())
    }

    /// Whether a follower that is heard is being sent this machine's snapshot, or the entries right behind it.
    fn installing(&self) -> bool {
        let recent =
            |peer: &&Progress| self.ticked.saturating_sub(peer.heard) <= 2 * self.set.election_timeout;
        let late = |peer: &Progress| peer.installing && peer.match_index < self.log.snapshot.last.1;
        self.role == Role::Leader && self.peers.values().filter(recent).any(late)
    }

    /// Takes the user's state as of the last entry applied.
    pub fn save_snapshot(&mut self, data: Vec<u8>) {
        let Some(term) = self.log.term(self.applied) else { return };
        let members = self.log.members_at(self.applied);
        let snapshot = Snapshot { last: (term, self.applied), members, data };
        let (behind, bytes) = (self.set.snapshot_after_entries / 4, self.set.snapshot_after_bytes / 2);
        let from = self.log.compact(snapshot.clone(), behind, bytes);
        self.placed = Some((snapshot, from));
    }
}
