//! Batches for the disk, entries applied, snapshots.

use super::{decode, encode, log_of, Member, Output, COMMITS, MOST_KEPT};
use crate::calls::Stand;
use crate::lease::Time;
use crate::log::bytes;
use crate::log::Batch;
use crate::record::Command;
use crate::record::Effect;
use crate::record::MemberId;
use milletwing_decision::interface::GroupMessage;
use protobuf::Message as _;
use raft::prelude::ConfChange;
use raft::prelude::ConfChangeType;
use raft::prelude::Entry;
use raft::prelude::EntryType;
use raft::prelude::Message;
use raft::prelude::Snapshot;

impl Member {
    /// A snapshot that went unanswered for long is taken for lost. Guards against a receiver that died with it: the
    /// library waits for the word that it arrived or failed, and sends nothing until then.
    pub(super) fn snapshots(&mut self, now: Time) {
        let limit = 2 * self.set.election as Time * self.set.tick;
        let waiting = |(id, progress): (&u64, &raft::Progress)| {
            (self.is_leader() && progress.state == raft::ProgressState::Snapshot).then_some(*id)
        };
        let waiting: Vec<MemberId> = self.raft.raft.prs().iter().filter_map(waiting).collect();
        self.sending.retain(|id, _| waiting.contains(id));
        for id in waiting {
            if now >= *self.sending.entry(id).or_insert(now) + limit {
                self.sending.remove(&id);
                self.raft.report_snapshot(id, raft::SnapshotStatus::Failure);
            }
        }
    }

    /// Makes the store of this member known, until it is.
    pub fn bind(&mut self, now: Time) {
        let open = self.record.members.get(&self.set.id).is_some_and(|member| member.store.is_none());
        if open && self.raft.raft.leader_id != 0 && now >= self.bound + 500 {
            self.bound = now;
            let command = Command::Bind(self.set.id, self.set.store);
            self.propose(&command);
        }
    }

    /// What must be on the disk next, if anything is to be done; `written` goes on from there.
    pub fn work(&mut self) -> Option<Batch> {
        if self.ready.is_some() || !self.raft.has_ready() {
            return None;
        }
        let mut ready = self.raft.ready();
        let messages = ready.take_messages();
        self.send(messages);
        for state in ready.take_read_states() {
            let number = <[u8; 8]>::try_from(state.request_ctx.as_slice()).map_or(0, u64::from_be_bytes);
            self.lease.renew(self.raft.raft.term, number);
        }
        let snapshot = ready.snapshot();
        let batch = Batch {
            hard_state: ready.hs().map(bytes),
            entries: ready.entries().iter().map(|entry| (entry.index, bytes(entry))).collect(),
            snapshot: (snapshot.get_metadata().index > 0)
                .then(|| (bytes(snapshot), snapshot.get_metadata().index + 1)),
        };
        self.ready = Some(ready);
        Some(batch)
    }

    /// The last batch is on the disk. Gives a further one where a snapshot of our own was taken.
    pub fn written(&mut self, now: Time) -> Result<Option<Batch>, String> {
        let Some(ready) = self.ready.take() else { return Ok(None) };
        self.ending = true;
        let ended = self.end(now, ready);
        self.ending = false;
        for command in std::mem::take(&mut self.later) {
            let _ = self.raft.propose(Vec::new(), command);
        }
        ended?;
        self.role(now);
        Ok(self.compact())
    }

    pub(super) fn end(&mut self, now: Time, mut ready: raft::Ready) -> Result<(), String> {
        if ready.snapshot().get_metadata().index > 0 {
            let snapshot = ready.snapshot().clone();
            self.record = decode(snapshot.get_data())?;
            self.applied = snapshot.get_metadata().index;
            self.raft.mut_store().restore(snapshot);
            self.restored();
        }
        let entries = ready.take_entries();
        self.raft.mut_store().append(&entries);
        if let Some(hard) = ready.hs() {
            self.raft.mut_store().hard = hard.clone();
        }
        let messages = ready.take_persisted_messages();
        self.send(messages);
        let committed = ready.take_committed_entries();
        self.apply(now, committed)?;
        let mut light = self.raft.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.raft.mut_store().hard.commit = commit;
        }
        let messages = light.take_messages();
        self.send(messages);
        let committed = light.take_committed_entries();
        self.apply(now, committed)?;
        self.raft.advance_apply();
        Ok(())
    }

    pub(super) fn send(&mut self, messages: Vec<Message>) {
        self.out.extend(messages.iter().map(|message| Output::Send(message.to, bytes(message))));
    }

    pub(super) fn apply(&mut self, now: Time, entries: Vec<Entry>) -> Result<(), String> {
        for entry in entries {
            self.applied = entry.index;
            if entry.get_entry_type() == EntryType::EntryConfChange {
                self.changed(&entry)?;
            } else if !entry.get_data().is_empty() {
                let command = decode(entry.get_data())?;
                let stand = self.stand(now);
                if let Command::Evidence { member, series, number, .. } = &command {
                    let own = (*member, *series) == (self.set.id, self.set.series);
                    if let Some((_, at)) = self.waiting.filter(|(waits, _)| own && waits == number) {
                        self.waiting = None;
                        self.commits.push(now.saturating_sub(at));
                        self.commits.truncate(COMMITS);
                    }
                }
                for effect in self.record.apply(entry.term, command) {
                    self.happened(&effect, stand);
                }
            }
        }
        Ok(())
    }

    pub(super) fn changed(&mut self, entry: &Entry) -> Result<(), String> {
        let change = ConfChange::parse_from_bytes(entry.get_data()).map_err(|problem| problem.to_string())?;
        let address = String::from_utf8_lossy(&change.context).into_owned();
        let id = change.node_id;
        let taken = match change.get_change_type() {
            ConfChangeType::AddLearnerNode => self.record.join(id, &address, false),
            ConfChangeType::AddNode => {
                self.record.members.contains_key(&id) && self.record.join(id, "", true)
            }
            ConfChangeType::RemoveNode => {
                self.record.leave(id);
                true
            }
        };
        // One that the record doesn't take must not count for the library either.
        let change = if taken { change } else { ConfChange::default() };
        self.outdated |= taken;
        let members = self.raft.apply_conf_change(&change).map_err(|problem| problem.to_string())?;
        self.out.push(log_of(format!("members: {:?}, learners: {:?}", members.voters, members.learners)));
        Ok(())
    }

    pub(super) fn happened(&mut self, effect: &Effect, stand: Stand) {
        match effect {
            Effect::Pooled => self.pooled = true,
            Effect::Standing => self.pooled = true,
            Effect::Decided(build, stage, vote) => {
                self.out.push(log_of(format!("decided: build {} stage {stage} {vote:?}", build.0)));
                self.out.push(Output::News(GroupMessage::Decided(*build, *stage, *vote)));
            }
            Effect::Void(intent, why) if intent.id.member == self.set.id => {
                self.out.push(log_of(format!("no call: {why}")));
            }
            Effect::Kept(_) => self.out_kept(),
            Effect::Opened(_) | Effect::Void(..) | Effect::Closed(..) => {}
        }
        let steps = self.calls.committed(effect, stand);
        self.steps(steps);
    }

    pub(super) fn out_kept(&mut self) {
        let (number, body) = self.record.kept.clone();
        self.out.push(Output::Kept(number, body));
    }

    /// What another part of the instance keeps in the record, by the one that leads; in place of the number before, or
    /// not at all. Larger than a frame bears, it is refused.
    pub fn keep(&mut self, now: Time, after: u64, number: u64, body: Vec<u8>) -> bool {
        let taken = self.stand(now).leads && body.len() <= MOST_KEPT;
        if taken {
            self.propose(&Command::Keep { after, number, body });
        }
        taken
    }

    /// After a snapshot: the module hears what stands decided.
    pub(super) fn restored(&mut self) {
        if self.record.kept.0 > 0 {
            self.out_kept();
        }
        let decided = self.record.decision();
        self.out.extend(
            decided.map(|(build, stage, vote)| Output::News(GroupMessage::Decided(build, stage, vote))),
        );
        self.pooled = true;
    }

    /// A snapshot of our own once the log has grown.
    pub(super) fn compact(&mut self) -> Option<Batch> {
        let before = self.raft.store().snapshot.get_metadata().index;
        if !std::mem::take(&mut self.outdated) && self.applied < before + self.set.snapshot_every {
            return None;
        }
        use raft::Storage;
        let term = self.raft.store().term(self.applied).ok()?;
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.applied, term);
        meta.set_conf_state(self.raft.raft.prs().conf().to_conf_state());
        snapshot.set_data(encode(&self.record).into());
        let written = bytes(&snapshot);
        let keep = self.raft.mut_store().compact(snapshot, self.set.snapshot_every / 4);
        Some(Batch { snapshot: Some((written, keep)), ..Batch::default() })
    }
}
