//! What this replica proposes as leader. A decision rests on the state as applied here, so that an entry that
//! is in the log and not applied yet could change what it rests on.

use super::{Core, Millis};
use milletwing_config::event;
use milletwing_consensus::LogPosition;
use milletwing_replicated_state::{Command, Subject};
use std::collections::BTreeMap;

/// The newest entry that this leader has proposed about each subject, as long as it may not be applied yet.
#[derive(Default)]
pub(super) struct PendingProposals(BTreeMap<Subject, u64>);

impl PendingProposals {
    fn record(&mut self, subject: Subject, index: u64) {
        self.0.insert(subject, index);
    }

    /// Forgets the entries up to `applied`.
    pub(super) fn remove_applied(&mut self, applied: u64) {
        self.0.retain(|_, index| *index > applied);
    }

    /// Forgets everything: another leader's entries may take their place.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

impl Core {
    /// Proposes an entry. Returns its position in the log, or none if this replica does not lead.
    pub(super) fn propose_entry(&mut self, command: &Command) -> Option<LogPosition> {
        let now = self.now();
        let position = self.member.propose(now, command.to_bytes())?;
        self.pending_proposals.record(command.subject(), position.1);
        Some(position)
    }

    /// Whether this leader has an entry about this subject in its log that is not applied yet.
    pub(super) fn has_pending_entry(&self, subject: &Subject) -> bool {
        self.pending_proposals.0.get(subject).is_some_and(|index| *index > self.view.index)
    }

    /// Makes the proposals that are due by the clock, and by no caller's request.
    pub(super) fn propose_due_commands(&mut self, now: Millis) {
        self.pending_proposals.remove_applied(self.view.index);
        if !self.member.is_caught_up_leader() {
            return; // entries of earlier terms may not be applied yet
        }
        let silence = (self.settings.provider.report_s * 3_000.0) as Millis + 1_000;
        let mut commands = self.registry.sweep(now, &self.view, silence, &Core::warmup_seconds(&self.view));
        commands.extend(self.trial_commands(now));
        commands.extend(self.end_unmatched_evacuations(now));
        commands.extend(self.repair_commands(now));
        commands.extend(self.ejection_commands(now));
        for command in commands {
            self.propose_by_clock(&command);
        }
    }

    /// Proposes an entry that rests on the state alone, unless another one about the same subject may change
    /// that state first.
    fn propose_by_clock(&mut self, command: &Command) {
        if self.has_pending_entry(&command.subject()) {
            return; // decided anew when that entry is applied
        }
        let Some((_, index)) = self.propose_entry(command) else { return };
        if let Command::Evacuate { zone, .. } = command {
            event!(Ordered, "entry {index}: {zone}, by the clock, on entry {}", self.view.index);
        }
    }
}
