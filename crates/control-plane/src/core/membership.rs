//! Which replicas are consensus members, which may stop, and how many further losses can be tolerated.

use super::{Core, Millis, SharedCore};
use milletwing_config::event;
use milletwing_consensus::MemberId;
use milletwing_consensus::Retirement;
use milletwing_replicated_state::registry::BeatAction;
use milletwing_wire::{Answer, CoreRequest};
use std::time::Duration;
use tokio::sync::oneshot;

/// How long in milliseconds the number of tolerated losses must hold before it is logged, so that a single
/// late answer changes nothing.
const MARGIN_HOLD_MS: Millis = 1_000;
/// Pause between two requests of a stopping replica for permission to retire.
const RETIRE_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// The number of further losses that can be tolerated: as last logged, and as last computed with the time
/// since when it has held.
#[derive(Default)]
pub(super) struct LossMargin {
    logged: Option<usize>,
    current: Option<usize>,
    since: Millis,
}

impl Core {
    /// Logs, once each, that this replica's start is confirmed, or that its disk holds less than the
    /// others.
    pub(super) fn log_start_progress(&mut self) {
        let behind = self.member.catch_up_target();
        if let Some((term, index)) = behind.filter(|_| self.logged_behind != behind) {
            let (_, last) = self.member.commit_and_last();
            event!(
                DiskBehind,
                "its log ends at {} of term {}, the other replicas' at {index} of term {term}",
                last.1,
                last.0
            );
        }
        self.logged_behind = behind;
        let confirmed = self.member.start_confirmed();
        if confirmed && !self.start_confirmed && !self.member.has_lost_state() {
            event!(StartConfirmed, "as of entry {}", self.member.commit_and_last().1 .1);
        }
        self.start_confirmed = confirmed;
    }

    /// Removes a member that another replica has replaced.
    pub(super) fn remove_replaced_member(&mut self, now: Millis) {
        let replaced_member = self
            .member
            .silent_surplus_member(now, self.replacement_silence())
            .filter(|id| !self.is_joining(*id, now));
        if let Some(id) = replaced_member {
            let remaining = self.member.members().iter().copied().filter(|member| *member != id).collect();
            self.member.change_membership(now, remaining);
        }
    }

    /// Whether a replica has recently asked to join.
    fn is_joining(&self, id: MemberId, now: Millis) -> bool {
        self.join_requests.get(&id).is_some_and(|at| now.saturating_sub(*at) < self.replacement_silence())
    }

    /// How long a superfluous member must be silent before it is removed: half of the time after which its
    /// successor must count, so that a further loss right then can be tolerated.
    pub(super) fn replacement_silence(&self) -> Millis {
        (self.settings.timers.guarantees.syncS * 500.0).max(1_000.0) as Millis
    }

    /// Decides whether a replica may stop. Returns none while the other replicas do not hold everything yet.
    pub(super) fn retire(&mut self, now: Millis, id: MemberId) -> Option<oneshot::Receiver<Answer>> {
        match self.member.retire(now, id)? {
            Retirement::MayStop => self.execute_beat_action(BeatAction::Acknowledge),
            Retirement::RemovedAt(index) => Some(self.wait_for_entry(self.member.term(), index)),
            Retirement::Wait => None,
        }
    }

    /// Prepares this replica to stop: waits until another one leads, this one is no longer a member if it
    /// was superfluous, and the others hold everything. Gives up after `timeout`; what is not done by then
    /// is still on this replica's disk.
    pub async fn prepare_shutdown(shared: &SharedCore, timeout: Duration) {
        let id = {
            let core = &mut *shared.borrow_mut();
            core.shutting_down = true;
            let now = core.now();
            core.member.transfer_leadership(now);
            core.settings.id()
        };
        Core::advance(shared);
        let retirement = async {
            while !matches!(
                Core::submit(shared, CoreRequest::RequestStop { id }, RETIRE_REQUEST_INTERVAL * 4).await,
                Answer::Done(_)
            ) {
                tokio::time::sleep(RETIRE_REQUEST_INTERVAL).await;
            }
        };
        let is_only_member = shared.borrow().member.members().iter().all(|member| *member == id);
        if !is_only_member && tokio::time::timeout(timeout, retirement).await.is_err() {
            event!(LeavesEarly, "the other replicas may lack entries that this one holds");
        }
    }

    /// Logs how many further losses can be tolerated, if this replica leads and the number has changed and
    /// held.
    pub(super) fn log_loss_margin(&mut self, now: Millis) {
        let current = self.member.further_losses(now);
        if current != self.loss_margin.current {
            (self.loss_margin.current, self.loss_margin.since) = (current, now);
        }
        if current.is_some()
            && current != self.loss_margin.logged
            && now >= self.loss_margin.since + MARGIN_HOLD_MS
        {
            self.loss_margin.logged = current;
            event!(LossesBorne, "{} of {} members", current.unwrap_or(0), self.member.members().len());
        }
    }
}
