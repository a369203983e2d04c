//! Exhaustive exploration, within bounds, of election, commit and recovery of a lost disk with three
//! replicas. Messages arrive in any order, late or never, and a disk may be lost at any time. The model is a
//! minimal version of `member.rs`. Each of its safety rules can be disabled separately, and the exploration
//! must then find a violation.

use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

/// Number of replicas.
const SIZE: usize = 3;
/// Number of disks that may be lost at the same time.
const LOSSES: usize = 1;

/// The safety rule that is disabled. Each variant describes what is possible without its rule.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DisabledRule {
    None,
    /// A replica that lost its disk counts as soon as one other has reported its state.
    RequiredReports,
    /// A recovering replica counts before its log has reached the reported position.
    CatchUpTarget,
    /// Votes are granted to candidates with outdated logs.
    UpToDateCandidate,
    /// Entries of earlier terms are committed by counting replicas.
    CurrentTermCommit,
    /// A replica may vote again in the term in which its disk was lost.
    VoteBar,
}

/// The term of each entry. With one leader per term, term and index identify the entry.
type Log = Vec<u8>;
type Position = (u8, usize);
/// Each peer's reported term and last entry, and the position that the log must reach once enough peers have
/// reported.
type Recovery = ([Option<(u8, Position)>; SIZE], Option<Position>);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Replica {
    term: u8,
    vote: Option<u8>,
    log: Log,
    is_leader: bool,
    votes: BTreeSet<u8>,
    /// Index up to which each peer has acknowledged entries to this leader.
    match_index: [usize; SIZE],
    /// Set while the replica recovers from the loss of its disk.
    recovery: Option<Recovery>,
    /// How often the disk was lost. Peers learn it from the next response.
    generation: u8,
    peer_generations: [u8; SIZE],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    VoteGranted { term: u8 },
    AppendEntries { term: u8, log: Log },
    AppendResponse { term: u8, match_index: usize, generation: u8 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ClusterState {
    replicas: [Replica; SIZE],
    /// Sender, receiver and message. Each may be delivered at any time, or never.
    messages: BTreeSet<(u8, u8, Message)>,
    /// The acknowledged entries.
    committed: Log,
    /// For each acknowledged entry, the term of the leader that committed it.
    commit_terms: Vec<u8>,
    /// The replicas that have led each term.
    leaders: Vec<(u8, u8)>,
    disk_losses: u8,
    /// An acknowledged entry was replaced or is missing from the log of a later leader.
    entry_lost: bool,
    /// Two replicas have led the same term.
    two_leaders: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    StartElection(usize),
    /// A candidate's vote request reaches a replica.
    RequestVote(usize, usize),
    Propose(usize),
    Replicate(usize, usize),
    Deliver(u8, u8, Message),
    LoseDisk(usize),
    /// A recovering replica receives the report of another one.
    QueryState(usize, usize),
}

struct ClusterModel {
    disabled: DisabledRule,
    terms: u8,
    entries: usize,
    disk_losses: u8,
    /// The initial logs; none of their entries is acknowledged.
    logs: [Log; SIZE],
}

/// Position of the last entry, or zeros for an empty log.
fn last_position(log: &Log) -> Position {
    (log.last().copied().unwrap_or(0), log.len())
}

impl Replica {
    fn become_follower(&mut self, term: u8) {
        if term > self.term {
            (self.term, self.vote) = (term, None);
        }
        self.is_leader = false;
        self.votes.clear();
    }

    fn finish_catch_up(&mut self, disabled: DisabledRule) {
        let position = last_position(&self.log);
        if self.recovery.as_ref().is_some_and(|(_, target)| {
            target.is_some_and(|target| position >= target || disabled == DisabledRule::CatchUpTarget)
        }) {
            self.recovery = None;
        }
    }
}

impl ClusterState {
    /// Sends a message. Connections preserve order, and a newer message of the same kind replaces the one
    /// before it.
    fn send(&mut self, from: u8, to: u8, message: Message) {
        let kind = std::mem::discriminant(&message);
        self.messages
            .retain(|(by, whom, other)| (*by, *whom) != (from, to) || std::mem::discriminant(other) != kind);
        self.messages.insert((from, to, message));
    }
}

impl ClusterModel {
    /// Commits the entries that a majority has on disk.
    fn advance_commit(&self, cluster: &mut ClusterState, at: usize) {
        let leader = &cluster.replicas[at];
        if !leader.is_leader {
            return;
        }
        let (mut committed, mut commit_terms, mut entry_lost) =
            (cluster.committed.clone(), cluster.commit_terms.clone(), false);
        for index in 1..=leader.log.len() {
            let copies = (0..SIZE).filter(|peer| *peer == at || leader.match_index[*peer] >= index).count();
            let may_commit =
                leader.log[index - 1] == leader.term || self.disabled == DisabledRule::CurrentTermCommit;
            if copies * 2 > SIZE && may_commit {
                // Committing an entry commits all entries before it.
                let all = &leader.log[..index];
                entry_lost |= committed.iter().zip(all).any(|(a, b)| a != b);
                if all.len() > committed.len() {
                    committed = all.to_vec();
                    commit_terms.resize(all.len(), leader.term);
                }
            }
        }
        (cluster.committed, cluster.commit_terms) = (committed, commit_terms);
        cluster.entry_lost |= entry_lost;
    }

    fn check_election(&self, cluster: &mut ClusterState, at: usize) {
        let replica = &mut cluster.replicas[at];
        if replica.is_leader || replica.votes.len() * 2 <= SIZE {
            return;
        }
        replica.is_leader = true;
        replica.match_index = [0; SIZE];
        replica.peer_generations = [0; SIZE];
        let term = replica.term;
        // A leader must hold everything acknowledged in earlier terms.
        let earlier = cluster.commit_terms.iter().take_while(|commit_term| **commit_term < term).count();
        cluster.entry_lost |= !replica.log.starts_with(&cluster.committed[..earlier]);
        cluster.two_leaders |= cluster.leaders.iter().any(|(of, who)| *of == term && usize::from(*who) != at);
        cluster.leaders.push((term, at as u8));
        cluster.leaders.sort_unstable();
        cluster.leaders.dedup();
    }

    fn deliver(&self, cluster: &mut ClusterState, from: u8, to: u8, message: Message) {
        let at = usize::from(to);
        let ignores_messages = matches!(cluster.replicas[at].recovery, Some((_, None)));
        let replica = &mut cluster.replicas[at];
        match message {
            _ if ignores_messages => {}
            Message::VoteGranted { term } => {
                if term == replica.term && replica.vote == Some(to) && replica.recovery.is_none() {
                    replica.votes.insert(from);
                    self.check_election(cluster, at);
                }
            }
            Message::AppendEntries { term, log } => {
                if term < replica.term {
                    return;
                }
                if term > replica.term || !replica.is_leader {
                    replica.become_follower(term);
                    let consistent = replica.log.iter().zip(&log).all(|(a, b)| a == b);
                    if !consistent || replica.log.len() < log.len() {
                        replica.log = log.clone();
                    }
                    replica.finish_catch_up(self.disabled);
                    // A replica that is not counted yet says so, and the leader then counts none of its
                    // entries.
                    let match_index = if replica.recovery.is_none() { log.len() } else { 0 };
                    let generation = replica.generation;
                    cluster.send(to, from, Message::AppendResponse { term, match_index, generation });
                }
            }
            Message::AppendResponse { term, match_index, generation } => {
                if term == replica.term && replica.is_leader {
                    let peer = usize::from(from);
                    // Losing the disk starts a new connection, so messages of the earlier one cannot arrive
                    // after those of the new one.
                    if generation < replica.peer_generations[peer] {
                        return;
                    }
                    if generation > replica.peer_generations[peer] {
                        (replica.peer_generations[peer], replica.match_index[peer]) = (generation, 0);
                    }
                    replica.match_index[peer] = replica.match_index[peer].max(match_index);
                    self.advance_commit(cluster, at);
                }
            }
        }
    }
}

impl Model for ClusterModel {
    type State = ClusterState;
    type Action = Action;

    fn init_states(&self) -> Vec<ClusterState> {
        let mut cluster = ClusterState::default();
        for (replica, log) in cluster.replicas.iter_mut().zip(&self.logs) {
            (replica.term, replica.log) =
                (self.logs.iter().flatten().copied().max().unwrap_or(1), log.clone());
        }
        vec![cluster]
    }

    fn actions(&self, cluster: &ClusterState, actions: &mut Vec<Action>) {
        for (at, replica) in cluster.replicas.iter().enumerate() {
            if replica.recovery.is_none() && !replica.is_leader && replica.term < self.terms {
                actions.push(Action::StartElection(at));
            }
            if replica.is_leader && replica.log.len() < self.entries {
                actions.push(Action::Propose(at));
            }
            for peer in (0..SIZE).filter(|peer| *peer != at) {
                let ignores_messages = matches!(cluster.replicas[peer].recovery, Some((_, None)));
                if !replica.is_leader
                    && !replica.votes.is_empty()
                    && !replica.votes.contains(&(peer as u8))
                    && !ignores_messages
                {
                    actions.push(Action::RequestVote(at, peer));
                }
                if replica.is_leader {
                    actions.push(Action::Replicate(at, peer));
                }
                let queries = replica
                    .recovery
                    .as_ref()
                    .is_some_and(|(answers, target)| target.is_none() && answers[peer].is_none());
                if queries && cluster.replicas[peer].recovery.is_none() {
                    actions.push(Action::QueryState(at, peer));
                }
            }
            // No more disks may be lost at the same time than the cluster tolerates.
            let lost = cluster.replicas.iter().filter(|replica| replica.recovery.is_some()).count();
            if cluster.disk_losses < self.disk_losses && replica.recovery.is_none() && lost < LOSSES {
                actions.push(Action::LoseDisk(at));
            }
        }
        actions.extend(
            cluster.messages.iter().map(|(from, to, message)| Action::Deliver(*from, *to, message.clone())),
        );
    }

    fn next_state(&self, cluster: &ClusterState, action: Action) -> Option<ClusterState> {
        let mut next = cluster.clone();
        match action {
            Action::StartElection(at) => {
                let replica = &mut next.replicas[at];
                replica.become_follower(replica.term + 1);
                replica.vote = Some(at as u8);
                replica.votes.insert(at as u8);
            }
            Action::RequestVote(candidate, at) => {
                let (term, candidate_last) =
                    (next.replicas[candidate].term, last_position(&next.replicas[candidate].log));
                let replica = &mut next.replicas[at];
                if term > replica.term {
                    replica.become_follower(term);
                }
                let behind = candidate_last < last_position(&replica.log)
                    && self.disabled != DisabledRule::UpToDateCandidate;
                let vote_available = replica.vote.is_none() || replica.vote == Some(candidate as u8);
                if term == replica.term
                    && vote_available
                    && !behind
                    && replica.recovery.is_none()
                    && !replica.is_leader
                {
                    replica.vote = Some(candidate as u8);
                    next.send(at as u8, candidate as u8, Message::VoteGranted { term });
                }
            }
            Action::Propose(at) => {
                let replica = &mut next.replicas[at];
                replica.log.push(replica.term);
            }
            Action::Replicate(at, peer) => {
                let replica = &next.replicas[at];
                let message = Message::AppendEntries { term: replica.term, log: replica.log.clone() };
                next.send(at as u8, peer as u8, message);
            }
            Action::Deliver(from, to, message) => {
                next.messages.remove(&(from, to, message.clone()));
                self.deliver(&mut next, from, to, message);
            }
            Action::LoseDisk(at) => {
                let generation = next.replicas[at].generation + 1;
                next.replicas[at] =
                    Replica { recovery: Some(([None; SIZE], None)), generation, ..Replica::default() };
                next.disk_losses += 1;
            }
            Action::QueryState(at, peer) => {
                let report = (next.replicas[peer].term, last_position(&next.replicas[peer].log));
                let replica = &mut next.replicas[at];
                if let Some((answers, target)) = &mut replica.recovery {
                    answers[peer] = Some(report);
                    let required =
                        if self.disabled == DisabledRule::RequiredReports { 1 } else { SIZE - LOSSES };
                    let reports: Vec<_> = answers.iter().flatten().collect();
                    if reports.len() >= required {
                        let term = reports.iter().map(|it| it.0).max().unwrap_or(0);
                        *target = reports.iter().map(|it| it.1).max();
                        replica.term = term;
                        // No replica has this ID, so the vote bars any other in a term in which the replica
                        // may have voted.
                        replica.vote = (self.disabled != DisabledRule::VoteBar).then_some(u8::MAX);
                    }
                }
                replica.finish_catch_up(self.disabled);
            }
        }
        (next != *cluster).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no acknowledged entry is lost", |_, cluster: &ClusterState| {
                !cluster.entry_lost
            }),
            Property::always("one leader per term", |_, cluster: &ClusterState| !cluster.two_leaders),
            Property::sometimes(
                "a lost disk counts again after entries were committed",
                |_, cluster: &ClusterState| {
                    cluster.disk_losses > 0
                        && cluster.committed.len() > 1
                        && cluster.replicas.iter().all(|replica| replica.recovery.is_none())
                },
            ),
        ]
    }
}

/// Explores all states of a model. Returns their number and the safety properties that are violated.
fn explore(model: ClusterModel) -> (usize, Vec<&'static str>) {
    let checker = model.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let violations =
        checker.discoveries().into_keys().filter(|name| !name.starts_with("a lost disk")).collect();
    (checker.unique_state_count(), violations)
}

fn cluster_model(disabled: DisabledRule, terms: u8, entries: usize, disk_losses: u8) -> ClusterModel {
    ClusterModel { disabled, terms, entries, disk_losses, logs: Default::default() }
}

#[test]
fn no_acknowledged_entry_is_lost_and_each_term_has_one_leader() {
    // Two leaders failed one after the other and left uncommitted entries behind.
    let uncommitted_logs =
        ClusterModel { logs: [vec![2], vec![], vec![3]], ..cluster_model(DisabledRule::None, 5, 1, 0) };
    for model in [
        cluster_model(DisabledRule::None, 3, 1, 0),
        cluster_model(DisabledRule::None, 2, 2, 1),
        uncommitted_logs,
    ] {
        let bounds = (model.terms, model.entries, model.disk_losses);
        let (states, violations) = explore(model);
        eprintln!("terms, entries, lost disks {bounds:?}: {states} states");
        assert_eq!(violations, Vec::<&str>::new(), "{bounds:?}");
    }
}

#[test]
fn disabling_any_rule_is_detected() {
    for disabled in [
        DisabledRule::RequiredReports,
        DisabledRule::CatchUpTarget,
        DisabledRule::UpToDateCandidate,
        DisabledRule::CurrentTermCommit,
        DisabledRule::VoteBar,
    ] {
        let model = match disabled {
            DisabledRule::UpToDateCandidate => cluster_model(disabled, 3, 1, 0),
            DisabledRule::CurrentTermCommit => {
                ClusterModel { logs: [vec![2], vec![], vec![3]], ..cluster_model(disabled, 5, 2, 0) }
            }
            _ => cluster_model(disabled, 3, 1, 1),
        };
        let (states, violations) = explore(model);
        eprintln!("{disabled:?}: {states} states");
        assert!(!violations.is_empty(), "{disabled:?}");
    }
}
