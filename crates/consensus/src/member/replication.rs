//! The log's way from the leader to the followers, and what is committed by it.

use super::{Member, Message, Role, MOST_BYTES};
use crate::log::{Entry, Payload, Snapshot};
use crate::{Id, LogPosition, Time};

impl Member {
    /// The leader takes an entry. Gives its index and term, or nothing where this machine doesn't lead.
    pub fn propose(&mut self, now: Time, data: Vec<u8>) -> Option<LogPosition> {
        (self.role == Role::Leader).then(|| {
            let mark = self.push(Payload::Data(data));
            self.spread(now);
            mark
        })
    }

    pub(super) fn push(&mut self, payload: Payload) -> LogPosition {
        let entry = Entry { term: self.hard.term, index: self.log.last().1 + 1, payload };
        let mark = (entry.term, entry.index);
        self.fresh.push(entry.clone());
        self.log.put(entry);
        mark
    }

    pub(super) fn spread(&mut self, now: Time) {
        for id in self.followers() {
            self.append(now, id, false);
        }
    }

    /// Sends a peer what it lacks, unless that is on its way already: then, with `even_empty`, a call without entries.
    /// What was on its way for long is sent again.
    pub(super) fn append(&mut self, now: Time, id: Id, even_empty: bool) {
        let last = self.log.last().1;
        let (term, commit) = (self.hard.term, self.commit);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let out = peer.waiting.is_some_and(|(at, _)| now < at + 2 * self.set.election);
        if !even_empty && (out || peer.next > last) {
            return;
        }
        peer.sent = now;
        // Each message has a round of its own, so that answers have an order.
        self.round += 1;
        let round = self.round;
        if out {
            // Guards against sending the same again and again on a link that it fills.
            let before = self.log.term(peer.matched).map_or((0, 0), |term| (term, peer.matched));
            self.send(id, Message::Append { term, before, entries: Vec::new(), commit, round });
            return;
        }
        if peer.next <= last || self.log.term(peer.next.max(1) - 1).is_none() {
            peer.waiting = Some((now, round));
        }
        let next = peer.next.max(1);
        let message = match self.log.term(next - 1) {
            Some(before) => {
                let entries = self.log.from(next, MOST_BYTES);
                Message::Append { term, before: (before, next - 1), entries, commit, round }
            }
            None => {
                let Snapshot { last, members, data } = &self.log.snapshot;
                if peer.snapshot.0 != *last {
                    peer.snapshot = (*last, 0);
                }
                peer.installing = true;
                let from = (peer.snapshot.1 as usize).min(data.len());
                let part = data[from..(from + self.set.part.max(1)).min(data.len())].to_vec();
                Message::Install {
                    term,
                    last: *last,
                    members: members.clone(),
                    offset: from as u64,
                    part,
                    total: data.len() as u64,
                    sum: crc32fast::hash(data),
                    round,
                }
            }
        };
        self.send(id, message);
    }

    /// Whether a leader's message is of this term.
    pub(super) fn heed(&mut self, now: Time, from: Id, term: u64, round: u64) -> bool {
        if term < self.hard.term {
            let (term, counts) = (self.hard.term, false);
            self.send(from, Message::Appended { term, fits: false, matched: 0, round, counts });
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
        from: Id,
        before: LogPosition,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let term = self.hard.term;
        let fits = before.1 < self.log.first() - 1 || self.log.term(before.1) == Some(before.0);
        if !fits {
            let matched = self.log.last().1.min(before.1.saturating_sub(1)).max(self.commit);
            let counts = self.counts();
            self.send(from, Message::Appended { term, fits: false, matched, round, counts });
            return;
        }
        if !entries.is_empty() && self.backlogged() {
            return; // the leader sends them again
        }
        let mut matched = before.1;
        for entry in entries {
            matched = entry.index;
            if entry.index < self.log.first() || self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            self.fresh.retain(|other| other.index < entry.index);
            self.fresh.push(entry.clone());
            self.written = self.written.min(entry.index - 1);
            self.log.put(entry);
            self.members = self.log.members();
        }
        self.caught_up();
        self.commit = self.commit.max(commit.min(matched));
        let counts = self.counts();
        self.send(from, Message::Appended { term, fits: true, matched, round, counts });
    }

    pub(super) fn appended(
        &mut self,
        now: Time,
        from: Id,
        fits: bool,
        matched: u64,
        round: u64,
        counts: bool,
    ) {
        let last = self.log.last().1;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.heard = now;
        if counts && !peer.counts {
            peer.matched = 0;
        }
        peer.counts = counts;
        if !counts {
            peer.matched = 0; // its disk is lost: what it told before is void
        }
        // Links keep order: whoever answers what was sent after the entries, and not those, never got them.
        let lost = peer.waiting.is_some_and(|(_, sent)| round > sent);
        if !fits || matched >= peer.next || lost {
            peer.waiting = None;
        }
        if fits {
            if matched.min(last) >= peer.matched {
                (peer.matched, peer.told) = (matched.min(last), round);
            }
            peer.installing &= peer.matched < self.log.snapshot.last.1;
            peer.next = peer.next.max(matched + 1).min(last + 1);
            peer.round = peer.round.max(round);
        } else {
            // Guards against a disk of which an earlier state was put back: what it no longer holds is not counted as there, and
            // it counts for nothing before it has asked the others.
            if counts && round > peer.told && matched < peer.matched {
                (peer.matched, peer.counts) = (0, false);
                let term = self.hard.term;
                self.send(from, Message::DistrustDisk { term });
                return;
            }
            peer.next = (matched + 1).min(peer.next.saturating_sub(1)).max(1);
        }
        if !fits || peer.next <= last {
            self.append(now, from, true);
        }
        self.count(now);
    }

    /// Commits what stands on the disks of a majority.
    pub(super) fn count(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        let own = if self.votes_here() { Some(self.written) } else { None };
        let others = self.others();
        let followers = self.followers();
        let there = others.iter().filter_map(|id| self.peers.get(id)).filter(|peer| peer.counts);
        let mut marks: Vec<u64> = there.map(|peer| peer.matched).chain(own).collect();
        marks.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = marks.get(self.members.len() / 2) else { return };
        // Guards against committing by count what a later leader may still replace: entries of this term only.
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            self.commit = index;
            for id in followers {
                self.append(now, id, true); // the word of it goes at once
            }
        }
    }
}
