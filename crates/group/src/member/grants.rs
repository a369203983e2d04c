//! Grants of the right to judge, and notes among members about them.

use super::{Member, Output};
use crate::grant::grantable;
use crate::grant::PeerNote;
use crate::lease::Time;
use crate::record::MemberId;
use milletwing_decision::interface::Build;
use milletwing_decision::interface::GroupMessage;
use protobuf::Message as _;
use raft::eraftpb::MessageType;
use raft::prelude::Message;

impl Member {
    pub(super) fn granted_self(&mut self, now: Time) {
        let Some((build, cap)) = grantable(&self.record) else { return };
        if self.held.now(now) == Some((build, cap))
            && self.held.asked().is_some_and(|at| now < at + self.set.grant / 4)
        {
            return;
        }
        let ask = self.held.ask(now);
        let note = self.grant(ask, build, cap);
        self.take_grant(&note, now);
    }

    pub(super) fn grant(&self, ask: u64, build: Build, cap: f64) -> PeerNote {
        PeerNote::Grant { ask, term: self.raft.raft.term, build, cap, life: self.set.grant }
    }

    pub(super) fn take_grant(&mut self, note: &PeerNote, now: Time) {
        let before = self.held.now(now);
        if let Some((build, cap)) = self.held.take(note, self.raft.raft.term, now) {
            if before != Some((build, cap)) {
                self.out.push(Output::News(GroupMessage::ExposureGrant(build, cap)));
            }
        }
    }

    /// A word beside the log.
    pub fn peer(&mut self, now: Time, from: MemberId, note: &PeerNote) {
        match note {
            PeerNote::Ask(ask) => {
                // A deposed leader grants nothing, nor does one whose lease has ended unnoticed.
                if !self.stand(now).leads || !self.record.members.contains_key(&from) {
                    return;
                }
                if let Some((build, cap)) = grantable(&self.record) {
                    let grant = self.grant(*ask, build, cap);
                    self.out.push(Output::Tell(from, grant));
                }
            }
            PeerNote::Grant { .. } => self.take_grant(note, now),
        }
    }

    /// A message of the consensus library's, from a peer whose identity the host has checked. An error where it can't
    /// be read.
    pub fn receive(&mut self, now: Time, from: MemberId, bytes: &[u8]) -> Result<(), String> {
        let message = Message::parse_from_bytes(bytes).map_err(|problem| problem.to_string())?;
        let kind = message.get_msg_type();
        // Proposals are passed on to whoever leads, by whom they reached instead.
        if (message.from != from && kind != MessageType::MsgPropose) || message.to != self.set.id {
            return Err(format!("a message from {} to {} on {from}'s connection", message.from, message.to));
        }
        // Nobody outside the group is listened to: a removed member goes on talking, and may have a high term.
        let known = self.record.members.is_empty() || self.record.members.contains_key(&from);
        let vote = matches!(kind, MessageType::MsgRequestVote | MessageType::MsgRequestPreVote);
        if !known || (vote && now < self.quiet) {
            return Ok(());
        }
        if let Err(problem) = self.raft.step(message) {
            self.out.push(Output::Log(format!("a message of member {from} was not taken: {problem}")));
        }
        self.role(now);
        Ok(())
    }
}
