//! Which machines make up the core, who may stop, and how many further losses are borne.

use super::{Core, Shared, Time};
use milletwing_config::event;
use milletwing_consensus::MemberId;
use milletwing_consensus::Retirement;
use milletwing_replicated_state::registry::BeatAction;
use milletwing_wire::{Answer, CoreRequest};
use std::time::Duration;
use tokio::sync::oneshot;

/// Milliseconds for which a margin holds before it is told: what a single late answer changes is not.
const STEADY: Time = 1_000;
/// Between two questions of a machine that is to stop.
const ASKS: Duration = Duration::from_millis(100);

/// Further losses that are borne: as told last, and as seen since when.
#[derive(Default)]
pub(super) struct Margin {
    told: Option<usize>,
    seen: Option<usize>,
    since: Time,
}

impl Core {
    /// Tells, once, that the start of this machine is confirmed, or that its disk holds less than the others.
    pub(super) fn note_start(&mut self) {
        let behind = self.member.catch_up_target();
        if let Some((term, index)) = behind.filter(|_| self.behind != behind) {
            let (_, last) = self.member.commit_and_last();
            event!(
                DiskBehind,
                "its log ends at {} of term {}, others' at {index} of term {term}",
                last.1,
                last.0
            );
        }
        self.behind = behind;
        let confirmed = self.member.start_confirmed();
        if confirmed && !self.confirmed && !self.member.has_lost_state() {
            event!(StartConfirmed, "as of entry {}", self.member.commit_and_last().1 .1);
        }
        self.confirmed = confirmed;
    }

    /// Ends the membership of a machine that another has replaced.
    pub(super) fn replace(&mut self, now: Time) {
        let silent =
            self.member.silent_surplus_member(now, self.replaced()).filter(|id| !self.joined(*id, now));
        if let Some(id) = silent {
            let rest = self.member.members().iter().copied().filter(|member| *member != id).collect();
            self.member.change_membership(now, rest);
        }
    }

    /// Whether a machine is on its way in.
    fn joined(&self, id: MemberId, now: Time) -> bool {
        self.joins.get(&id).is_some_and(|at| now.saturating_sub(*at) < self.replaced())
    }

    /// Silence after which a member that is one too many is taken out: half of the time after which a successor is to count, so
    /// that a further loss right then is borne.
    pub(super) fn replaced(&self) -> Time {
        (self.settings.timers.guarantees.syncS * 500.0).max(1_000.0) as Time
    }

    /// Whether a machine may stop; not clear while others don't hold everything yet.
    pub(super) fn retire(&mut self, now: Time, id: MemberId) -> Option<oneshot::Receiver<Answer>> {
        match self.member.retire(now, id)? {
            Retirement::MayStop => self.verdict(BeatAction::Acknowledge),
            Retirement::RemovedAt(index) => Some(self.wait_for(self.member.term(), index)),
            Retirement::Wait => None,
        }
    }

    /// Before this machine stops: another leads, it is no member any more where it is one too many, and the others hold
    /// everything. For so long at most; whatever then is not done, its disk keeps.
    pub async fn leave(shared: &Shared, within: Duration) {
        let id = {
            let core = &mut *shared.borrow_mut();
            core.leaving = true;
            let now = core.now();
            core.member.transfer_leadership(now);
            core.settings.id()
        };
        Core::pump(shared);
        let asks = async {
            while !matches!(
                Core::order(shared, CoreRequest::RequestStop { id }, ASKS * 4).await,
                Answer::Done(_)
            ) {
                tokio::time::sleep(ASKS).await;
            }
        };
        let alone = shared.borrow().member.members().iter().all(|member| *member == id);
        if !alone && tokio::time::timeout(within, asks).await.is_err() {
            event!(LeavesEarly, "the others may lack what this machine holds");
        }
    }

    /// Tells how many further losses are borne, where this machine leads and that has changed for good.
    pub(super) fn tell_margin(&mut self, now: Time) {
        let seen = self.member.further_losses(now);
        if seen != self.margin.seen {
            (self.margin.seen, self.margin.since) = (seen, now);
        }
        if seen.is_some() && seen != self.margin.told && now >= self.margin.since + STEADY {
            self.margin.told = seen;
            event!(LossesBorne, "{} of {} members", seen.unwrap_or(0), self.member.members().len());
        }
    }
}
