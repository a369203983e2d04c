//! Applies committed entries to the state, answers the callers that wait for them, and updates the edges.

use super::{Core, NewestEntries, MAX_RECENT_ENTRIES_AND_BYTES};
use milletwing_config::{event, Configuration, Difference};
use milletwing_consensus::Payload;
use milletwing_replicated_state::{Command, Outcome, View};
use milletwing_wire::Answer;
use std::rc::Rc;

impl Core {
    /// Applies committed entries, answers the callers that wait for them, and updates the edges.
    pub(super) fn apply_committed(&mut self) {
        if let Some(data) = self.member.take_restored_state() {
            match View::from_compressed(&data) {
                Ok(view) => self.view = view,
                Err(problem) => {
                    event!(DiskUnusable, "cannot read the leader's snapshot: {problem}");
                    std::process::exit(3);
                }
            }
            self.record_reverted_rollouts();
            self.record_route_shares();
            self.newest_entries = NewestEntries::from_snapshot(self.view.index);
            self.recent_entries.clear();
            self.recent_bytes = 0;
        }
        let mut repairs = Vec::new();
        for entry in self.member.take_committed() {
            let (answer, bytes) = match entry.payload {
                Payload::Data(bytes) => match Command::from_bytes(&bytes) {
                    Ok(command) => {
                        let before = self.view.configuration().cloned();
                        let outcome = self.view.apply(entry.index, &command);
                        self.log_outcome(entry.index, &command, &outcome, before.as_deref());
                        self.newest_entries.record(entry.index, &command);
                        if let Command::Configure { .. } = &command {
                            self.record_route_shares();
                        }
                        if let Command::RollOut { .. } = &command {
                            self.record_rollout(entry.index);
                        }
                        if let Command::Settle { service, good: false, .. } = &command {
                            self.reverted_at.insert(service.clone(), self.now());
                        }
                        if let Command::Repair { edge, life: incarnation, step, .. } = &command {
                            repairs.push((*edge, *incarnation, *step));
                        }
                        if let Command::Evacuate { zone, on: true, .. } = &command {
                            self.evacuated_at.insert(zone.clone(), self.now());
                        }
                        let answer = match outcome {
                            Outcome::Done => Answer::Done(entry.index),
                            Outcome::Refused(kind) => {
                                Answer::Refused(kind.response().status, kind.to_string())
                            }
                        };
                        (answer, Some(bytes))
                    }
                    Err(problem) => (Answer::Refused(400, problem), None),
                },
                Payload::Noop | Payload::Members(_) => (Answer::Done(entry.index), None),
            };
            self.view.index = entry.index;
            if let Some(bytes) = bytes {
                self.recent_bytes += bytes.len();
                self.recent_entries.push_back((entry.index, Rc::new(bytes)));
                while self.recent_entries.len() > MAX_RECENT_ENTRIES_AND_BYTES.0
                    || self.recent_bytes > MAX_RECENT_ENTRIES_AND_BYTES.1
                {
                    let Some((_, old)) = self.recent_entries.pop_front() else { break };
                    self.recent_bytes -= old.len();
                }
            }
            for (term, waiter) in self.waiters.remove(&entry.index).unwrap_or_default() {
                // Another leader's entry took its place: the outcome of the awaited entry is unknown.
                let _ = waiter.send(if term == entry.term { answer.clone() } else { Answer::Unknown });
            }
        }
        if self.member.should_snapshot() {
            let data = self.view.to_compressed();
            self.member.save_snapshot(data);
        }
        let index = self.view.index;
        for token in self.member.take_confirmed_reads() {
            if let Some(reader) = self.pending_reads.remove(&token) {
                let _ = reader.send(Answer::Done(index));
            }
        }
        for (edge, incarnation, step) in repairs {
            self.send_repair_step(edge, incarnation, step);
        }
        let ids: Vec<u64> =
            self.feeds.iter().filter(|(_, feed)| feed.sent_index < index).map(|(id, _)| *id).collect();
        for id in ids {
            self.send_updates(id);
        }
    }

    /// Records when this replica learned of a rollout.
    fn record_rollout(&mut self, number: u64) {
        let now = self.now();
        self.rollouts_applied_at.insert(number, now);
        let rollouts = &self.view.rollouts;
        self.rollouts_applied_at.retain(|number, _| rollouts.values().any(|it| it.number == *number));
    }

    /// Records which shares of which routes the configuration in force leads to each service.
    pub(super) fn record_route_shares(&mut self) {
        let now = self.now();
        if let Some(configuration) = self.view.configuration() {
            self.route_shares.record(now, configuration);
        }
    }

    /// Logs what an entry changed, or why it was refused.
    fn log_outcome(&self, index: u64, command: &Command, outcome: &Outcome, before: Option<&Configuration>) {
        match (command, outcome) {
            (_, Outcome::Refused(kind)) => event!(Refused, "entry {index}: {kind}"),
            (Command::Configure { .. }, _) => {
                let difference = self.view.configuration().map(|after| Difference::between(before, after));
                let difference = difference.unwrap_or_default();
                event!(Configured, "entry {index}: revision {}: {difference}", self.view.revision)
            }
            (Command::NodeUp(node), _) => {
                let phase =
                    if node.phase == milletwing_replicated_state::Phase::Warm { "warm" } else { "cold" };
                event!(
                    NodeUp,
                    "{} {} of {} at {} in {}, {phase}",
                    node.id,
                    node.revision,
                    node.target,
                    node.address,
                    node.zone
                )
            }
            (Command::NodeDrains { id }, _) => event!(NodeDrains, "{id}"),
            (Command::NodeGone { id, silent }, _) => {
                event!(NodeGone, "{id}{}", if *silent { ", silent" } else { "" })
            }
            (Command::NodeWarm { id }, _) => event!(NodeWarm, "{id}"),
            (Command::NodeCold { id, .. }, _) => event!(NodeWarm, "{id} is cold"),
            (Command::Evacuate { zone, on, .. }, _) => {
                let orders = self.view.evacuated.get(zone).map_or(0, |evacuation| evacuation.orders);
                let order = if *on { "ordered" } else { "taken back" };
                event!(Evacuated, "entry {index}: evacuation of {zone} {order}, {orders} orders stand")
            }
            (Command::RollOut { service, revision, .. }, _) => {
                event!(RollOut, "{service}: rollout of {revision} requested")
            }
            (Command::Stage { service, number, stage }, _) => {
                event!(RollOut, "{service}: stage {stage}{}", self.describe_evidence(*number))
            }
            (Command::Suspect { id, looks }, _) if looks.is_empty() => event!(Suspected, "{id} ejected"),
            (Command::Suspect { id, looks }, _) => {
                event!(Suspected, "{id} retested by {} edges", looks.len())
            }
            (Command::Trust { id }, _) => event!(Suspected, "{id} restored"),
            (Command::Repair { edge, step, why, .. }, _) => {
                event!(Repairs, "{}: {}: {why}", std::net::Ipv4Addr::from_bits(*edge), step.as_str())
            }
            (Command::Settle { service, number, good }, _) => {
                let end = if *good { "completed" } else { "reverted" };
                event!(RollOut, "{service}: {end}{}", self.describe_evidence(*number))
            }
        }
    }
}
