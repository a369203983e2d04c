//! Versions on trial, as this machine judges them while it leads.

use super::{Core, Judged, Time};
use milletwing_consensus::Role;
use milletwing_replicated_state::{Command, RollOut, RollOutState};
use milletwing_sequential_test::{
    self as sequential_test, latest_advance, min_stage_duration, stage_cap, TrialReport, FINAL_STAGE,
};
use milletwing_wire::PeerMessage;

impl Core {
    /// What follows for the trials under way.
    pub(super) fn judge(&mut self, now: Time) -> Vec<Command> {
        let mut out = Vec::new();
        let active: Vec<(String, RollOut)> = self
            .view
            .rollouts
            .iter()
            .filter(|(_, roll)| roll.state == RollOutState::Active)
            .map(|(service, roll)| (service.clone(), roll.clone()))
            .collect();
        self.trials.retain(|number, _| active.iter().any(|(_, roll)| roll.number == *number));
        for (service, roll) in active {
            let trial = self.trials.entry(roll.number).or_insert_with(|| Judged {
                begun: now,
                started: now,
                nodes: 0,
                tally: sequential_test::TrialTally::new(now, roll.stage),
            });
            trial.tally.set_stage(now, roll.stage);
            let nodes = self
                .view
                .nodes
                .values()
                .filter(|node| node.target == service && node.revision == roll.to)
                .count();
            if nodes > trial.nodes {
                (trial.nodes, trial.started) = (nodes, now);
            }
            // One that nothing has moved to its end by the end of its time goes back, doubtful ones among them.
            let end = trial.begun + roll.period_ms * 19 / 20;
            let over = now >= end;
            let pace = min_stage_duration(roll.period_ms);
            let latest = latest_advance(roll.stage, end, pace);
            let step = if nodes == 0 { None } else { trial.tally.decide(now, trial.started, pace, latest) };
            let number = roll.number;
            out.extend(match (step, over) {
                (Some(sequential_test::TrialDecision::Advance), _) if roll.stage >= FINAL_STAGE => {
                    Some(Command::Settle { service, number, good: true })
                }
                (Some(sequential_test::TrialDecision::RollBack), _) | (None, true) => {
                    Some(Command::Settle { service, number, good: false })
                }
                (Some(sequential_test::TrialDecision::Advance), _) => {
                    Some(Command::Stage { service, number, stage: roll.stage + 1 })
                }
                (None, false) => None,
            });
        }
        out
    }

    /// The evidence on a trial in words, where this machine leads.
    pub(super) fn evidence(&self, number: u64) -> String {
        let judged = self.trials.get(&number).filter(|_| self.role == Role::Leader);
        judged.map(|judged| format!(", {}", judged.tally.summary())).unwrap_or_default()
    }

    /// The trials under way, and the ends of earlier ones; evidence and votes where this machine leads.
    pub fn trials(&self) -> serde_json::Value {
        let rows = self.view.rollouts.iter().map(|(service, roll)| {
            let judged = self.trials.get(&roll.number).filter(|_| self.role == Role::Leader);
            serde_json::json!({"service": service, "to": roll.to, "state": roll.state.as_str(), "stage": roll.stage,
                "cap": stage_cap(roll.stage, self.settings.timers.guarantees.exposureShare),
                "evidence": judged.map(|judged| judged.tally.summary())})
        });
        serde_json::json!({"leads": self.role == Role::Leader, "trials": rows.collect::<Vec<_>>()})
    }

    /// What an edge tells of the trials: to whoever leads.
    pub fn reports(&mut self, edge: u32, incarnation: u64, reports: Vec<TrialReport>) {
        let now = self.now();
        if self.role == Role::Leader {
            for report in reports {
                if let Some(trial) = self.trials.get_mut(&report.number) {
                    trial.tally.record_report(now, edge, incarnation, report);
                }
            }
        } else if let Some(leader) = self.leader {
            self.post(leader, &PeerMessage::Reports { edge, incarnation, reports });
        }
    }
}
