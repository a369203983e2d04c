//! Version trials, as judged while this replica leads.

use super::{Core, Millis, Trial};
use milletwing_consensus::Role;
use milletwing_replicated_state::{Command, RollOut, RollOutState};
use milletwing_sequential_test::{
    self as sequential_test, min_stage_duration, stage_cap, TrialReport, TrialSchedule, FINAL_STAGE,
};
use milletwing_wire::PeerMessage;

impl Core {
    /// Returns commands to advance, complete or revert the trials in progress.
    pub(super) fn trial_commands(&mut self, now: Millis) -> Vec<Command> {
        let mut commands = Vec::new();
        let active: Vec<(String, RollOut)> = self
            .view
            .rollouts
            .iter()
            .filter(|(_, rollout)| rollout.state == RollOutState::Active)
            .map(|(service, rollout)| (service.clone(), rollout.clone()))
            .collect();
        self.trials.retain(|number, _| active.iter().any(|(_, rollout)| rollout.number == *number));
        for (service, rollout) in active {
            let known_since = self.rollouts_applied_at.get(&rollout.number).copied().unwrap_or(now);
            let trial = self.trials.entry(rollout.number).or_insert_with(|| Trial {
                newest_marshal_since: now,
                marshals: 0,
                tally: sequential_test::TrialTally::new(known_since, rollout.stage),
            });
            trial.tally.set_stage(now, rollout.stage);
            let marshals = self
                .view
                .nodes
                .values()
                .filter(|node| node.target == service && node.revision == rollout.to)
                .count();
            if marshals > trial.marshals {
                (trial.marshals, trial.newest_marshal_since) = (marshals, now);
            }
            // A version that has not been accepted by the end of its period is reverted, also if the
            // evidence is inconclusive.
            let end = trial.tally.after_start(rollout.period_ms * 19 / 20);
            let expired = now >= end;
            let guarantees = &self.settings.timers.guarantees;
            let schedule = TrialSchedule {
                newest_registered: trial.newest_marshal_since,
                routes_added: self.route_shares.last_increase(&service),
                led_away: self.route_shares.led_away(&service, trial.tally.after_start(0)),
                min_duration: min_stage_duration(rollout.period_ms),
                end,
                term: trial.tally.after_start(rollout.period_ms),
                exposure: (guarantees.exposureShare, guarantees.exposureSlack),
            };
            let decision = if marshals == 0 { None } else { trial.tally.decide(now, &schedule) };
            let number = rollout.number;
            commands.extend(match (decision, expired) {
                (Some(sequential_test::TrialDecision::Advance), _) if rollout.stage >= FINAL_STAGE => {
                    Some(Command::Settle { service, number, good: true })
                }
                (Some(sequential_test::TrialDecision::RollBack), _) | (None, true) => {
                    Some(Command::Settle { service, number, good: false })
                }
                (Some(sequential_test::TrialDecision::Advance), _) => {
                    Some(Command::Stage { service, number, stage: rollout.stage + 1 })
                }
                (None, false) => None,
            });
        }
        commands
    }

    /// Describes the evidence on a trial, if this replica leads.
    pub(super) fn describe_evidence(&self, number: u64) -> String {
        let trial = self.trials.get(&number).filter(|_| self.role == Role::Leader);
        let describe = |trial: &Trial| {
            let age = trial.tally.age(self.now());
            format!(" {age} ms after its order, {}", trial.tally.summary())
        };
        trial.map(describe).unwrap_or_default()
    }

    /// Lists trials in progress and the outcomes of earlier ones; with evidence and votes only if this
    /// replica leads.
    pub fn trials_json(&self) -> serde_json::Value {
        let rows = self.view.rollouts.iter().map(|(service, rollout)| {
            let trial = self.trials.get(&rollout.number).filter(|_| self.role == Role::Leader);
            serde_json::json!({"service": service, "to": rollout.to, "state": rollout.state.as_str(), "stage": rollout.stage,
                "cap": stage_cap(rollout.stage, self.settings.timers.guarantees.exposureShare),
                "evidence": trial.map(|trial| trial.tally.summary())})
        });
        serde_json::json!({"leads": self.role == Role::Leader, "trials": rows.collect::<Vec<_>>()})
    }

    /// Passes an edge's trial reports on to the leader.
    pub fn on_trial_reports(&mut self, edge: u32, incarnation: u64, reports: Vec<TrialReport>) {
        let now = self.now();
        if self.role == Role::Leader {
            for report in reports {
                if let Some(trial) = self.trials.get_mut(&report.number) {
                    trial.tally.record_report(now, edge, incarnation, report);
                }
            }
        } else if let Some(leader) = self.leader {
            self.send_to(leader, &PeerMessage::Reports { edge, incarnation, reports });
        }
    }
}
