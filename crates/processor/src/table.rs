//! The table of verdicts. Between the proxies, which ask and report, and the decision module, which chooses: a proxy's
//! first ask is a request for the module, its report the end of an attempt, and what the module does next is the verdict
//! for the next try, whether that was asked yet or not.

use milletwing_decision::interface::{DedupScope, Ms, NodeId, Outcome as End, RequestId, RetrySafety};
use std::collections::{BTreeMap, BTreeSet};

/// A stream of a caller's, as the host numbers it.
pub type StreamId = u64;

/// What is known of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// How often a request may take effect.
    pub effect: RetrySafety,
    /// Who drops repeats, for deduplicated ones.
    pub scope: DedupScope,
    /// How long repeats are dropped, from the first send.
    pub memory: Ms,
}

/// An earlier try, as an ask tells of it. Only what harms nobody if it is believed counts: that a try never left.
#[derive(Clone, Debug, PartialEq)]
pub struct Earlier {
    /// Its node.
    pub node: NodeId,
    /// It was never written whole: it never ran.
    pub never: bool,
    /// How long ago it was begun.
    pub age: Ms,
}

/// A proxy asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The request.
    pub id: RequestId,
    /// Its class, by the settings' order.
    pub class: usize,
    /// The try, from 0.
    pub number: usize,
    /// The time that its client still waits.
    pub left: Ms,
    /// The tries before, as the proxy knows them.
    pub earlier: Vec<Earlier>,
}

/// What a proxy is told of one try, once and for all.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Send it there. Void if it has not begun by then: it must not be begun later.
    Send {
        /// The node.
        node: NodeId,
        /// In the host's clock.
        begin_by: Ms,
        /// When it is to be given up.
        until: Ms,
    },
    /// Answer that trying again is harmless, perhaps with a time to come back.
    Refused(Option<Ms>),
    /// Answer that it failed.
    Failed,
}

/// What a proxy reports of a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It never left: not connected, not written whole, or the verdict was void by then.
    Never,
    /// It ended so, after a time.
    Ended(End, Ms),
}

/// Why an ask or a report is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No such class, or another one than before under the same id: a caller that lies, or two that share ids.
    Invalid,
    /// A try that nobody could know of yet.
    Ahead,
    /// As many requests as are allowed are open.
    Full,
    /// Of nothing that is known.
    Unknown,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Tell a stream the verdict of a try.
    Tell(StreamId, RequestId, usize, Verdict),
    /// Tell the module of a new request.
    Taken(RequestId, usize, Ms),
    /// Tell the module how a try ended; the time since it was decided.
    Ended(RequestId, u32, NodeId, End, Ms),
    /// Tell the module that its client has gone.
    Gone(RequestId),
}

#[derive(Clone, Debug, PartialEq)]
struct Try {
    verdict: Verdict,
    at: Ms,
    /// Whether its end was told to the module.
    ended: bool,
    /// It was told to a proxy: it may be under way.
    told: bool,
}

#[derive(Clone, Debug)]
struct Request {
    class: usize,
    deadline: Ms,
    tries: Vec<Try>,
    /// Streams that wait for the verdict of a try that is not decided yet.
    waits: BTreeSet<(usize, StreamId)>,
    /// Tries that another life of ours, or somebody else, decided: the module counts from 0.
    before: usize,
    /// Until when a repeat could do harm.
    keep: Ms,
    gone: bool,
}

/// The table.
#[derive(Debug)]
pub struct Table {
    classes: Vec<Class>,
    /// Time in which a proxy must have begun to send. The drain grace must exceed it, and windows of exposure are to be
    /// counted wider by it: a verdict used at its last moment still keeps every rule.
    begin: Ms,
    /// How long after a request's deadline a verdict is told again.
    grace: Ms,
    most: usize,
    requests: BTreeMap<RequestId, Request>,
    due: BTreeSet<(u64, RequestId)>,
}

/// Milliseconds in whole ones, for an order.
fn whole(time: Ms) -> u64 {
    time.0.max(0.0).ceil() as u64
}

impl Table {
    /// For these classes; `begin` and `grace` as the fields tell, and at most so many requests at a time.
    pub fn new(classes: Vec<Class>, begin: Ms, grace: Ms, most: usize) -> Table {
        Table { classes, begin, grace, most, requests: BTreeMap::new(), due: BTreeSet::new() }
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// A proxy asks on a stream.
    pub fn ask(
        &mut self,
        now: Ms,
        stream: StreamId,
        ask: &Ask,
        out: &mut Vec<Output>,
    ) -> Result<(), Refusal> {
        let class = *self.classes.get(ask.class).ok_or(Refusal::Invalid)?;
        if let Some(request) = self.requests.get_mut(&ask.id) {
            if request.class != ask.class {
                return Err(Refusal::Invalid);
            }
            // Known: the same verdict for the same try, whoever asks.
            if let Some(known) =
                ask.number.checked_sub(request.before).and_then(|at| request.tries.get_mut(at))
            {
                known.told = true;
                out.push(Output::Tell(stream, ask.id.clone(), ask.number, known.verdict.clone()));
                return Ok(());
            }
            if ask.number < request.before {
                // Of a life before this one: what was said then is not known, and not guessed.
                out.push(Output::Tell(stream, ask.id.clone(), ask.number, Verdict::Failed));
                return Ok(());
            }
            let next = request.before + request.tries.len();
            if ask.number > next {
                return Err(Refusal::Ahead);
            }
            request.waits.insert((ask.number, stream));
            self.next(now, ask, out);
            return Ok(());
        }
        if self.requests.len() >= self.most {
            return Err(Refusal::Full);
        }
        let deadline = now + ask.left;
        let keep = deadline + self.grace.max(class.memory);
        let mut request = Request {
            class: ask.class,
            deadline,
            tries: Vec::new(),
            waits: [(ask.number, stream)].into(),
            before: ask.number,
            keep,
            gone: false,
        };
        // A later try that we don't know, after a restart of ours: answered from what the ask itself proves.
        let proved = ask.number == 0 || Table::proves(&class, ask);
        self.due.insert((whole(keep), ask.id.clone()));
        if !proved || ask.left.0 <= 0.0 {
            let (at, verdict) = (now, Verdict::Failed);
            request.tries.push(Try { verdict, at, ended: true, told: true });
            request.waits.clear();
            self.requests.insert(ask.id.clone(), request);
            out.push(Output::Tell(stream, ask.id.clone(), ask.number, Verdict::Failed));
            return Ok(());
        }
        self.requests.insert(ask.id.clone(), request);
        out.push(Output::Taken(ask.id.clone(), ask.class, ask.left));
        Ok(())
    }

    /// Whether an ask by itself proves that another send harms nobody.
    fn proves(class: &Class, ask: &Ask) -> bool {
        let told = ask.earlier.len() == ask.number;
        let may_have_run = ask.earlier.iter().filter(|earlier| !earlier.never);
        let oldest = may_have_run
            .map(|earlier| earlier.age)
            .fold(None, |oldest: Option<Ms>, age| Some(oldest.map_or(age, |oldest| oldest.max(age))));
        match (class.effect, oldest) {
            (RetrySafety::Idempotent, _) => true,
            (_, None) => told,
            // Nodes that drop its repeats must all be in reach: the module does not know where it ran.
            (RetrySafety::Deduplicated, Some(age)) => {
                told && class.scope == DedupScope::All && age < class.memory
            }
            (RetrySafety::AtMostOnce, Some(_)) => false,
        }
    }

    /// The next try is asked for while the last has no end: the ask may tell what became of it.
    fn next(&mut self, now: Ms, ask: &Ask, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&ask.id) else { return };
        let at = request.tries.len().wrapping_sub(1);
        let Some(last) = request.tries.get(at).filter(|last| !last.ended) else { return };
        let Verdict::Send { node, .. } = &last.verdict else { return };
        let told = ask.earlier.last().filter(|earlier| earlier.node == *node);
        // Without a word that it never left it may have run.
        let never = !last.told || told.is_some_and(|earlier| earlier.never);
        let outcome = if never { Outcome::Never } else { Outcome::Ended(End::Timeout, now - last.at) };
        self.end(now, &ask.id, at, outcome, out);
    }

    /// The module sends a try somewhere, or gives the request its final answer. False where it comes too late: then the
    /// module is to be told that the attempt never began.
    pub fn decided(&mut self, now: Ms, id: &RequestId, verdict: Decision, out: &mut Vec<Output>) -> bool {
        let Some(request) = self.requests.get_mut(id) else { return false };
        let last = request.tries.last();
        let open = last.is_some_and(|last| !last.ended);
        let over = last.is_some_and(|last| !matches!(last.verdict, Verdict::Send { .. }));
        if open || over || request.gone {
            return false;
        }
        let (verdict, ended) = match verdict {
            Decision::Send(node, until) => {
                let begin_by = (now + self.begin).min(until);
                (Verdict::Send { node, begin_by, until }, false)
            }
            Decision::Refused(wait) => (Verdict::Refused(wait), true),
            Decision::Failed => (Verdict::Failed, true),
        };
        let number = request.before + request.tries.len();
        let waiting: Vec<(usize, StreamId)> =
            request.waits.iter().copied().filter(|(at, _)| *at <= number).collect();
        request.waits.retain(|(at, _)| *at > number);
        let told = !waiting.is_empty();
        request.tries.push(Try { verdict: verdict.clone(), at: now, ended, told });
        out.extend(
            waiting.into_iter().map(|(_, stream)| Output::Tell(stream, id.clone(), number, verdict.clone())),
        );
        true
    }

    /// A proxy reports. A report that comes again, or of a try that has its end, changes nothing.
    pub fn report(
        &mut self,
        now: Ms,
        id: &RequestId,
        number: usize,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) -> Result<(), Refusal> {
        let request = self.requests.get(id).ok_or(Refusal::Unknown)?;
        let at = number.checked_sub(request.before).ok_or(Refusal::Unknown)?;
        let known = request.tries.get(at).ok_or(Refusal::Ahead)?;
        if !matches!(known.verdict, Verdict::Send { .. }) {
            return Err(Refusal::Invalid);
        }
        self.end(now, id, at, outcome, out);
        Ok(())
    }

    /// The module gives an attempt up, by its own number: its time is over, or it stops waiting. It may have run.
    pub fn give_up(&mut self, now: Ms, id: &RequestId, copy: u32, end: End, out: &mut Vec<Output>) {
        self.end(now, id, copy as usize, Outcome::Ended(end, Ms(f64::MAX)), out);
    }

    fn end(&mut self, now: Ms, id: &RequestId, at: usize, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(last) = request.tries.get_mut(at).filter(|last| !last.ended) else { return };
        last.ended = true;
        let Verdict::Send { node, .. } = &last.verdict else { return };
        let took = now - last.at;
        let (end, time) = match outcome {
            Outcome::Never => (End::NotSent, Ms(0.0)),
            // Longer than it can have taken is a lie, or another clock's: ours counts.
            Outcome::Ended(end, time) => (end, time.max(Ms(0.0)).min(took)),
        };
        out.push(Output::Ended(id.clone(), at as u32, node.clone(), end, time));
    }

    /// A client has left, as its proxy tells: nothing more is asked for it.
    pub fn cancel(&mut self, now: Ms, id: &RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.gone) else { return };
        request.gone = true;
        request.waits.clear();
        let open = request.tries.iter().position(|last| !last.ended);
        out.push(Output::Gone(id.clone()));
        if let Some(at) = open {
            self.end(now, id, at, Outcome::Ended(End::Cancelled, Ms(f64::MAX)), out);
        }
    }

    /// A stream has ended: nobody waits on it. Its verdicts stand, and are told again to whoever asks.
    pub fn closed(&mut self, stream: StreamId) {
        self.requests.values_mut().for_each(|request| request.waits.retain(|(_, other)| *other != stream));
    }

    /// Looks at the time: a try whose client has given up ends as one that may have run and tells nothing of its node; what
    /// can do no more harm is forgotten.
    pub fn tick(&mut self, now: Ms, out: &mut Vec<Output>) {
        let late: Vec<(RequestId, usize)> = (self.requests.iter())
            .filter(|(_, request)| now >= request.deadline)
            .filter_map(|(id, request)| {
                Some((id.clone(), request.tries.iter().position(|last| !last.ended)?))
            })
            .collect();
        for (id, at) in late {
            // Callers that never report: evidence of nothing.
            self.end(now, &id, at, Outcome::Ended(End::Cancelled, Ms(f64::MAX)), out);
        }
        while let Some((due, _)) = self.due.first().filter(|(due, _)| *due <= whole(now)) {
            let due = *due;
            let Some((_, id)) = self.due.pop_first() else { return };
            if self.requests.get(&id).is_some_and(|request| whole(request.keep) <= due) {
                self.requests.remove(&id);
            }
        }
    }
}

/// What the module decides of a try.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It goes to a node, and is given up then.
    Send(NodeId, Ms),
    /// Turned away; perhaps with a time to come back.
    Refused(Option<Ms>),
    /// Failed.
    Failed,
}
