//! Recovery of a replica's state: the queries that it sends to the others before it is counted, both at each
//! start, since its disk may have been rolled back to an earlier state, and after the loss of its disk.
//!
//! Assumption at a start: the replicas whose disks were lost or rolled back, and those that do not answer
//! within [`ABSENT_AFTER_HALF_ELECTIONS`] of the start, are together no more than `tolerated_losses`. Then at
//! least one of the replicas that answer holds whatever a rolled-back disk had helped to acknowledge, and one
//! knows of each term in which its replica voted. A replica with an intact disk serves with any majority: at
//! once if all members answer, otherwise once the silent ones are considered absent.

use super::{Member, Message, ReportedState, Startup, StateIntegrity};
use crate::{LogPosition, MemberId, Millis};
use rand::Rng;

/// Half election timeouts after which a member that has not answered a starting replica is considered absent.
/// Replicas that start together, even after a complete power failure, are running within this time.
const ABSENT_AFTER_HALF_ELECTIONS: Millis = 5;
/// Milliseconds between two queries to a replica that has not answered.
const QUERY_RETRY_MS: Millis = 200;
/// Election timeouts without progress after which a replica that waits for entries queries again: the replica
/// that held them may be gone.
const QUERY_RESTART_ELECTIONS: Millis = 4;

impl Member {
    /// How far this replica's own state can be relied on.
    pub(super) fn integrity(&self) -> StateIntegrity {
        match self.has_complete_state() {
            true => StateIntegrity::Complete,
            false if self.hard_state.disk_lost => StateIntegrity::Lost,
            false => StateIntegrity::Unconfirmed,
        }
    }

    /// Queries the replicas that have not reported their state yet.
    pub(super) fn query_peers(&mut self, now: Millis) {
        if self.last_request_sent != 0 && now < self.last_request_sent + QUERY_RETRY_MS {
            return;
        }
        self.last_request_sent = now.max(1);
        // Whoever answers also knows the replicas that joined while this one was down.
        let reported_members = self.state_reports.values().flat_map(|report| &report.members);
        let known = self.seed_peers.iter().chain(&self.members).chain(reported_members).copied();
        // A replica that had lost its state may have recovered by now, so it is asked again.
        let has_state = |id: &MemberId| {
            self.state_reports.get(id).is_some_and(|report| report.integrity != StateIntegrity::Lost)
        };
        let mut targets: Vec<MemberId> =
            known.filter(|id| *id != self.options.id && !has_state(id)).collect();
        targets.sort_unstable();
        targets.dedup();
        let query_id = self.query_id;
        for id in targets {
            self.send(id, Message::QueryState { query_id });
        }
    }

    /// Queries a replica that has just sent a query itself, if its report is still missing: it may not have
    /// been running when this replica last asked.
    pub(super) fn query_back(&mut self, from: MemberId) {
        let awaits_report = !self.hard_state.disk_lost && matches!(self.startup, Startup::Querying(_));
        if awaits_report && !self.state_reports.contains_key(&from) {
            let query_id = self.query_id;
            self.send(from, Message::QueryState { query_id });
        }
    }

    /// Discards all reports. Responses to earlier queries are ignored from now on.
    pub(super) fn restart_queries(&mut self) {
        self.state_reports.clear();
        self.query_id = self.rng.random();
        self.last_request_sent = 0;
    }

    /// Advances a replica that has not confirmed its start.
    pub(super) fn tick_startup(&mut self, now: Millis) {
        match self.startup {
            Startup::Querying(_) if !self.hard_state.disk_lost => {
                self.query_peers(now);
                self.try_confirm_start(now);
            }
            Startup::CatchingUp(_)
                if now >= self.deadline + QUERY_RESTART_ELECTIONS * self.options.election_timeout =>
            {
                self.startup = Startup::Querying(now);
                self.restart_queries();
            }
            _ => {}
        }
    }

    /// Confirms the start, once all other members have reported their state, or once a majority including
    /// this replica has and the others are considered absent.
    pub(super) fn try_confirm_start(&mut self, now: Millis) {
        let Startup::Querying(since) = self.startup else { return };
        // The report with the latest log determines the members.
        let newest = self
            .state_reports
            .values()
            .max_by_key(|report| report.last)
            .filter(|it| it.last > self.log.last_position());
        let members = newest.map_or(&self.members, |report| &report.members);
        let others = || members.iter().filter(|id| **id != self.options.id);
        let all_reported = others().all(|id| self.state_reports.contains_key(id));
        let has_state = |id: &&MemberId| {
            self.state_reports.get(id).is_some_and(|report| report.integrity != StateIntegrity::Lost)
        };
        // A majority goes on whatever the tolerated losses are, because it could elect a leader without the
        // rest.
        let majority_reported = (others().filter(has_state).count() + 1) * 2 > members.len();
        let others_absent = now >= since + ABSENT_AFTER_HALF_ELECTIONS * self.options.election_timeout / 2;
        let may_go_on = all_reported || (majority_reported && others_absent);
        if !may_go_on {
            return;
        }
        // Only entries held by members may be committed. A learner's last entries may exist on no other
        // replica.
        let reports: Vec<&ReportedState> = others().filter_map(|id| self.state_reports.get(id)).collect();
        let term = reports.iter().map(|report| report.term).max().unwrap_or(0);
        let latest = reports.iter().map(|report| report.last).max().unwrap_or((0, 0));
        self.hard_state.term = self.hard_state.term.max(term);
        // The replica may have voted in this term before its disk was rolled back. No replica has ID 0, so
        // this vote prevents a second one.
        self.hard_state.voted_for = Some(0);
        self.hard_state_dirty = true;
        self.state_reports.clear();
        if latest > self.log.last_position() {
            self.startup = Startup::CatchingUp(latest);
            self.reset_deadline(now); // from now on it waits for the entries it lacks
        } else {
            self.startup = Startup::Confirmed;
        }
    }

    /// Whether this replica may vote for a candidate whose log ends at `last`.
    pub(super) fn may_vote_for(&self, last: LogPosition) -> bool {
        // Before it was rolled back, this replica's disk may have held entries that the candidate lacks.
        let holds_required = self.catch_up_target().is_none_or(|latest| last >= latest);
        self.is_quorum_eligible() && holds_required && last >= self.log.last_position()
    }

    /// Handles a state report after the loss of the disk. Once all but `tolerated_losses` of the members have
    /// reported, one of the reports covers whatever this replica helped to acknowledge before the loss. The
    /// replica is counted again once its log reaches the latest position reported.
    pub(super) fn handle_report_after_disk_loss(
        &mut self,
        now: Millis,
        from: MemberId,
        report: ReportedState,
    ) {
        if report.integrity != StateIntegrity::Complete || report.members.is_empty() {
            self.state_reports.remove(&from);
            return;
        }
        if self.members.is_empty() || !self.members.contains(&from) {
            self.members = report.members.clone(); // to be queried next, until the log names the members
        }
        self.state_reports.insert(from, report);
        // The report with the latest log determines the members: an acknowledged membership change is in it
        // as soon as enough replicas have reported.
        let Some(newest) = self.state_reports.values().max_by_key(|report| report.last) else { return };
        let members = &newest.members;
        let required_reports = members.len().saturating_sub(self.options.tolerated_losses).max(1);
        let member_reports: Vec<&ReportedState> = self
            .state_reports
            .iter()
            .filter(|(id, _)| members.contains(id))
            .map(|(_, report)| report)
            .collect();
        if member_reports.len() >= required_reports {
            let term = member_reports.iter().map(|report| report.term).max().unwrap_or(0);
            let latest = member_reports.iter().map(|report| report.last).max().unwrap_or((0, 0));
            // A replica that was never a member has promised nothing that matters.
            let target = if members.contains(&self.options.id) { latest } else { (0, 0) };
            self.begin_catch_up(now, term, target);
        }
    }

    /// Records the position that the log must reach after the loss of the disk.
    pub(super) fn begin_catch_up(&mut self, now: Millis, term: u64, target: LogPosition) {
        self.hard_state.term = self.hard_state.term.max(term);
        // The replica may have voted in this term before. No replica has ID 0, so this vote prevents a second
        // one.
        self.hard_state.voted_for = Some(0);
        self.hard_state.catch_up_target = Some(target);
        self.hard_state_dirty = true;
        // The required position is part of the hard state from now on, so the start needs no other
        // confirmation.
        self.startup = Startup::Confirmed;
        // Empty if the disk is empty. The entries or the snapshot that a leader sends will name the members.
        self.members = self.log.members();
        self.reset_deadline(now);
        self.finish_catch_up();
    }

    /// Treats the disk as lost, because it holds less than this replica has acknowledged.
    pub(super) fn discard_local_state(&mut self, now: Millis) {
        (self.hard_state.disk_lost, self.hard_state.catch_up_target) = (true, None);
        (self.hard_state_dirty, self.state_intact_on_disk) = (true, false);
        self.restart_queries();
        self.reset_deadline(now);
    }

    /// Ends the recovery, of a lost disk or of one that lacked entries, once the log reaches the required
    /// position.
    pub(super) fn finish_catch_up(&mut self) {
        if matches!(self.startup, Startup::CatchingUp(latest) if self.log.last_position() >= latest) {
            self.startup = Startup::Confirmed;
        }
        if self.hard_state.disk_lost
            && self.hard_state.catch_up_target.is_some_and(|target| self.log.last_position() >= target)
        {
            (self.hard_state.disk_lost, self.hard_state.catch_up_target) = (false, None);
            self.hard_state_dirty = true;
        }
    }
}
