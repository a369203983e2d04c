//! Snapshots of the application state: taking them, sending them in chunks in place of entries that the
//! leader no longer has, and installing them.

use super::{Member, Message, Progress, Role};
use crate::log::Snapshot;
use crate::{LogPosition, MemberId, Millis};

/// While a follower is being sent a snapshot, the next one is taken only after this many times the usual
/// number of entries. A snapshot replaced sooner would restart each transfer, and a follower far behind would
/// never catch up.
const SNAPSHOT_RETENTION_FACTOR: u64 = 16;

impl Member {
    /// Handles a chunk of a snapshot. After the last chunk the snapshot is installed, if the data matches the
    /// leader's checksum.
    pub(super) fn handle_install_snapshot(
        &mut self,
        from: MemberId,
        (last, members): (LogPosition, Vec<MemberId>),
        (offset, chunk, total, checksum): (u64, Vec<u8>, u64, u32),
        round: u64,
    ) {
        let (term, index) = (self.hard_state.term, last.1);
        // A log that holds the last entry of the snapshot holds all of its entries. It is kept, because the
        // entries after the snapshot may have been acknowledged.
        if self.log.term(index) == Some(last.0) {
            self.commit_index = self.commit_index.max(index);
        }
        // A snapshot of entries that are committed here already adds nothing.
        if index > self.commit_index {
            // Chunks are kept across a change of leaders: snapshots at the same position have the same data.
            let mut data = match self.incoming_snapshot.take() {
                Some((position, data)) if position == last => data,
                _ => Vec::new(),
            };
            if offset == data.len() as u64 {
                data.extend_from_slice(&chunk);
            }
            let received = data.len() as u64;
            // If the data was assembled incorrectly, the transfer starts over.
            let corrupt = received > total || (received == total && crc32fast::hash(&data) != checksum);
            if received < total || corrupt {
                let (received, quorum_eligible) =
                    (if corrupt { 0 } else { received }, self.is_quorum_eligible());
                self.incoming_snapshot = (!corrupt).then_some((last, data));
                self.send(
                    from,
                    Message::SnapshotChunkResponse { term, last, received, round, quorum_eligible },
                );
                return;
            }
            let snapshot = Snapshot { last, members, data };
            self.unsaved_entries.clear();
            self.log.restore(snapshot.clone());
            self.members = self.log.members();
            (self.commit_index, self.persisted_index) = (index, index);
            self.unsaved_snapshot = Some((snapshot, index + 1));
        }
        self.incoming_snapshot = None;
        self.finish_catch_up();
        let (match_index, quorum_eligible) = (index, self.is_quorum_eligible());
        self.send(
            from,
            Message::AppendResponse { term, accepted: true, match_index, round, quorum_eligible },
        );
    }

    /// Handles the acknowledgement of a chunk by sending the next one.
    pub(super) fn handle_snapshot_chunk_response(
        &mut self,
        now: Millis,
        from: MemberId,
        last: LogPosition,
        received: u64,
        round: u64,
        quorum_eligible: bool,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        (peer.last_heard, peer.quorum_eligible) = (now, quorum_eligible);
        peer.acked_round = peer.acked_round.max(round);
        if !quorum_eligible {
            peer.match_index = 0;
        }
        if peer.snapshot_progress.0 == last {
            peer.snapshot_progress.1 = received;
            peer.in_flight = None;
            self.send_append(now, from, true);
        }
    }

    /// Takes the application state of an installed snapshot, if it replaced entries that were never applied.
    pub fn take_restored_state(&mut self) -> Option<Vec<u8>> {
        (self.applied_index < self.log.snapshot.last.1).then(|| {
            self.applied_index = self.log.snapshot.last.1;
            self.log.snapshot.data.clone()
        })
    }

    /// Whether the application should save a snapshot, because the entries after the last one exceed the
    /// configured number or size. While a follower is being sent the last snapshot, it is kept for longer.
    pub fn should_snapshot(&self) -> bool {
        let threshold = self.options.snapshot_after_entries;
        let new_entries = self.applied_index.saturating_sub(self.log.snapshot.last.1);
        let overdue = new_entries >= threshold * SNAPSHOT_RETENTION_FACTOR
            || self.log.size_bytes() >= self.options.snapshot_after_bytes * 2;
        let due = new_entries >= threshold
            || (new_entries > 0 && self.log.size_bytes() >= self.options.snapshot_after_bytes);
        due && (overdue || !self.is_transferring_snapshot())
    }

    /// Whether a responsive follower is being sent this leader's snapshot and has not caught up to its
    /// position.
    fn is_transferring_snapshot(&self) -> bool {
        let is_recent = |peer: &&Progress| {
            self.last_tick.saturating_sub(peer.last_heard) <= 2 * self.options.election_timeout
        };
        let is_behind = |peer: &Progress| peer.installing && peer.match_index < self.log.snapshot.last.1;
        self.role == Role::Leader && self.peers.values().filter(is_recent).any(is_behind)
    }

    /// Saves the application state, as of the last applied entry, as the new snapshot.
    pub fn save_snapshot(&mut self, data: Vec<u8>) {
        let Some(term) = self.log.term(self.applied_index) else { return };
        let members = self.log.members_at(self.applied_index);
        let snapshot = Snapshot { last: (term, self.applied_index), members, data };
        let (keep_behind, max_bytes) =
            (self.options.snapshot_after_entries / 4, self.options.snapshot_after_bytes / 2);
        let from = self.log.compact(snapshot.clone(), keep_behind, max_bytes);
        self.unsaved_snapshot = Some((snapshot, from));
    }
}
