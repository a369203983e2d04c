//! Election, commit and the return of a lost disk at three machines, explored in full within bounds: messages come in any
//! order, late or never, and a disk may be lost at any moment. The model says what `member.rs` does in the fewest words; its
//! guarding lines can be left out one at a time, and then what they guard against is found.

use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const SIZE: usize = 3;
const LOSSES: usize = 1;

/// A line that is left out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// A machine without memory counts as soon as one other has told what it holds.
    Answers,
    /// It counts before it holds what it was told of.
    CatchingUp,
    /// Votes go to logs that are behind as well.
    NotBehind,
    /// An earlier term's entries are committed by count.
    OwnTerm,
    /// A vote may be lent again in the term in which the disk was lost.
    VoteBarred,
}

/// The term of each entry: with one leader a term, term and place are the entry.
type Log = Vec<u8>;
type Last = (u8, usize);
/// Each peer's term and last entry as it told them, and what the log must hold once enough have.
type Lost = ([Option<(u8, Last)>; SIZE], Option<Last>);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Machine {
    term: u8,
    vote: Option<u8>,
    log: Log,
    leads: bool,
    votes: BTreeSet<u8>,
    /// What each peer has on its disk, as this leader was told.
    matched: [usize; SIZE],
    /// The disk was lost.
    lost: Option<Lost>,
    /// How often: the peers learn it with the next answer.
    life: u8,
    lives: [u8; SIZE],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Vote { term: u8 },
    Append { term: u8, log: Log },
    Appended { term: u8, matched: usize, life: u8 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct World {
    machines: [Machine; SIZE],
    /// From whom, to whom; each may come at any moment, or never.
    net: BTreeSet<(u8, u8, Message)>,
    /// What was acknowledged, and who has led each term.
    committed: Log,
    /// In which leader's term each of them was.
    during: Vec<u8>,
    leaders: Vec<(u8, u8)>,
    wipes: u8,
    forgotten: bool,
    two: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Stand(usize),
    /// A candidate's question reaches a machine.
    Ask(usize, usize),
    Propose(usize),
    Spread(usize, usize),
    Deliver(u8, u8, Message),
    Wipe(usize),
    Recall(usize, usize),
}

struct Core {
    without: Without,
    terms: u8,
    entries: usize,
    wipes: u8,
    /// What the machines begin with; nothing of it is acknowledged.
    logs: [Log; SIZE],
}

fn last(log: &Log) -> Last {
    (log.last().copied().unwrap_or(0), log.len())
}

impl Machine {
    fn follow(&mut self, term: u8) {
        if term > self.term {
            (self.term, self.vote) = (term, None);
        }
        self.leads = false;
        self.votes.clear();
    }

    fn caught_up(&mut self, without: Without) {
        let own = last(&self.log);
        if self.lost.as_ref().is_some_and(|(_, target)| {
            target.is_some_and(|target| own >= target || without == Without::CatchingUp)
        }) {
            self.lost = None;
        }
    }
}

impl World {
    /// A message is on its way. A connection keeps order, and a newer message of a kind stands for the one before it.
    fn post(&mut self, from: u8, to: u8, message: Message) {
        let kind = std::mem::discriminant(&message);
        self.net
            .retain(|(by, whom, other)| (*by, *whom) != (from, to) || std::mem::discriminant(other) != kind);
        self.net.insert((from, to, message));
    }
}

impl Core {
    /// A leader counts what stands on the disks of a majority.
    fn count(&self, world: &mut World, at: usize) {
        let leader = &world.machines[at];
        if !leader.leads {
            return;
        }
        let (mut committed, mut during, mut forgotten) =
            (world.committed.clone(), world.during.clone(), false);
        for index in 1..=leader.log.len() {
            let there = (0..SIZE).filter(|peer| *peer == at || leader.matched[*peer] >= index).count();
            let own = leader.log[index - 1] == leader.term || self.without == Without::OwnTerm;
            if there * 2 > SIZE && own {
                // What stands before an entry that is committed is committed with it.
                let all = &leader.log[..index];
                forgotten |= committed.iter().zip(all).any(|(a, b)| a != b);
                if all.len() > committed.len() {
                    committed = all.to_vec();
                    during.resize(all.len(), leader.term);
                }
            }
        }
        (world.committed, world.during) = (committed, during);
        world.forgotten |= forgotten;
    }

    fn elected(&self, world: &mut World, at: usize) {
        let own = &mut world.machines[at];
        if own.leads || own.votes.len() * 2 <= SIZE {
            return;
        }
        own.leads = true;
        own.matched = [0; SIZE];
        own.lives = [0; SIZE];
        let term = own.term;
        // Whoever leads holds everything acknowledged in earlier terms.
        let earlier = world.during.iter().take_while(|during| **during < term).count();
        world.forgotten |= !own.log.starts_with(&world.committed[..earlier]);
        world.two |= world.leaders.iter().any(|(of, who)| *of == term && usize::from(*who) != at);
        world.leaders.push((term, at as u8));
        world.leaders.sort_unstable();
        world.leaders.dedup();
    }

    fn deliver(&self, world: &mut World, from: u8, to: u8, message: Message) {
        let at = usize::from(to);
        let deaf = matches!(world.machines[at].lost, Some((_, None)));
        let own = &mut world.machines[at];
        match message {
            _ if deaf => {}
            Message::Vote { term } => {
                if term == own.term && own.vote == Some(to) && own.lost.is_none() {
                    own.votes.insert(from);
                    self.elected(world, at);
                }
            }
            Message::Append { term, log } => {
                if term < own.term {
                    return;
                }
                if term > own.term || !own.leads {
                    own.follow(term);
                    let fits = own.log.iter().zip(&log).all(|(a, b)| a == b);
                    if !fits || own.log.len() < log.len() {
                        own.log = log.clone();
                    }
                    own.caught_up(self.without);
                    // One that doesn't count yet says so: a leader then counts nothing of it.
                    let matched = if own.lost.is_none() { log.len() } else { 0 };
                    let life = own.life;
                    world.post(to, from, Message::Appended { term, matched, life });
                }
            }
            Message::Appended { term, matched, life } => {
                if term == own.term && own.leads {
                    let peer = usize::from(from);
                    // A connection is begun anew with each life, so that an earlier one's word comes after no later one's.
                    if life < own.lives[peer] {
                        return;
                    }
                    if life > own.lives[peer] {
                        (own.lives[peer], own.matched[peer]) = (life, 0);
                    }
                    own.matched[peer] = own.matched[peer].max(matched);
                    self.count(world, at);
                }
            }
        }
    }
}

impl Model for Core {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let mut world = World::default();
        for (machine, log) in world.machines.iter_mut().zip(&self.logs) {
            (machine.term, machine.log) =
                (self.logs.iter().flatten().copied().max().unwrap_or(1), log.clone());
        }
        vec![world]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for (at, own) in world.machines.iter().enumerate() {
            if own.lost.is_none() && !own.leads && own.term < self.terms {
                acts.push(Act::Stand(at));
            }
            if own.leads && own.log.len() < self.entries {
                acts.push(Act::Propose(at));
            }
            for peer in (0..SIZE).filter(|peer| *peer != at) {
                let deaf = matches!(world.machines[peer].lost, Some((_, None)));
                if !own.leads && !own.votes.is_empty() && !own.votes.contains(&(peer as u8)) && !deaf {
                    acts.push(Act::Ask(at, peer));
                }
                if own.leads {
                    acts.push(Act::Spread(at, peer));
                }
                let asks = own
                    .lost
                    .as_ref()
                    .is_some_and(|(answers, target)| target.is_none() && answers[peer].is_none());
                if asks && world.machines[peer].lost.is_none() {
                    acts.push(Act::Recall(at, peer));
                }
            }
            // No more disks at once than may be lost.
            let lost = world.machines.iter().filter(|machine| machine.lost.is_some()).count();
            if world.wipes < self.wipes && own.lost.is_none() && lost < LOSSES {
                acts.push(Act::Wipe(at));
            }
        }
        acts.extend(world.net.iter().map(|(from, to, message)| Act::Deliver(*from, *to, message.clone())));
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        match act {
            Act::Stand(at) => {
                let own = &mut next.machines[at];
                own.follow(own.term + 1);
                own.vote = Some(at as u8);
                own.votes.insert(at as u8);
            }
            Act::Ask(candidate, at) => {
                let (term, theirs) = (next.machines[candidate].term, last(&next.machines[candidate].log));
                let own = &mut next.machines[at];
                if term > own.term {
                    own.follow(term);
                }
                let behind = theirs < last(&own.log) && self.without != Without::NotBehind;
                let free = own.vote.is_none() || own.vote == Some(candidate as u8);
                if term == own.term && free && !behind && own.lost.is_none() && !own.leads {
                    own.vote = Some(candidate as u8);
                    next.post(at as u8, candidate as u8, Message::Vote { term });
                }
            }
            Act::Propose(at) => {
                let own = &mut next.machines[at];
                own.log.push(own.term);
            }
            Act::Spread(at, peer) => {
                let own = &next.machines[at];
                let message = Message::Append { term: own.term, log: own.log.clone() };
                next.post(at as u8, peer as u8, message);
            }
            Act::Deliver(from, to, message) => {
                next.net.remove(&(from, to, message.clone()));
                self.deliver(&mut next, from, to, message);
            }
            Act::Wipe(at) => {
                let life = next.machines[at].life + 1;
                next.machines[at] = Machine { lost: Some(([None; SIZE], None)), life, ..Machine::default() };
                next.wipes += 1;
            }
            Act::Recall(at, peer) => {
                let told = (next.machines[peer].term, last(&next.machines[peer].log));
                let own = &mut next.machines[at];
                if let Some((answers, target)) = &mut own.lost {
                    answers[peer] = Some(told);
                    let need = if self.without == Without::Answers { 1 } else { SIZE - LOSSES };
                    let heard: Vec<_> = answers.iter().flatten().collect();
                    if heard.len() >= need {
                        let term = heard.iter().map(|it| it.0).max().unwrap_or(0);
                        *target = heard.iter().map(|it| it.1).max();
                        own.term = term;
                        // No machine has this number: none is lent in a term that may have had one.
                        own.vote = (self.without != Without::VoteBarred).then_some(u8::MAX);
                    }
                }
                own.caught_up(self.without);
            }
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing acknowledged is forgotten", |_, world: &World| !world.forgotten),
            Property::always("one leader a term", |_, world: &World| !world.two),
            Property::sometimes(
                "a lost disk counts again after entries were committed",
                |_, world: &World| {
                    world.wipes > 0
                        && world.committed.len() > 1
                        && world.machines.iter().all(|machine| machine.lost.is_none())
                },
            ),
        ]
    }
}

fn explore(model: Core) -> (usize, Vec<&'static str>) {
    let checker = model.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let found = checker.discoveries().into_keys().filter(|name| !name.starts_with("a lost disk")).collect();
    (checker.unique_state_count(), found)
}

fn core(without: Without, terms: u8, entries: usize, wipes: u8) -> Core {
    Core { without, terms, entries, wipes, logs: Default::default() }
}

#[test]
fn nothing_acknowledged_is_forgotten_and_each_term_has_one_leader() {
    // Two leaders left unfinished logs behind, as they fell one after the other.
    let unfinished = Core { logs: [vec![2], vec![], vec![3]], ..core(Without::Nothing, 5, 1, 0) };
    for model in [core(Without::Nothing, 3, 1, 0), core(Without::Nothing, 2, 2, 1), unfinished] {
        let bounds = (model.terms, model.entries, model.wipes);
        let (states, found) = explore(model);
        eprintln!("terms, entries, wipes {bounds:?}: {states} states");
        assert_eq!(found, Vec::<&str>::new(), "{bounds:?}");
    }
}

#[test]
fn each_line_left_out_is_found() {
    for without in
        [Without::Answers, Without::CatchingUp, Without::NotBehind, Without::OwnTerm, Without::VoteBarred]
    {
        let model = match without {
            Without::NotBehind => core(without, 3, 1, 0),
            Without::OwnTerm => Core { logs: [vec![2], vec![], vec![3]], ..core(without, 5, 2, 0) },
            _ => core(without, 3, 1, 1),
        };
        let (states, found) = explore(model);
        eprintln!("{without:?}: {states} states");
        assert!(!found.is_empty(), "{without:?}");
    }
}
