//! What edges are told: entries as they are folded, whole states, pulses, steps to bring one back.

use super::{Core, Feed, Time, Word, FRESH};
use milletwing_drift_detection::Step;
use milletwing_replicated_state::EdgeStatus;
use milletwing_wire::{encode_frame, ToEdge};
use std::rc::Rc;
use tokio::sync::mpsc;

impl Core {
    /// An edge's connection: what it lacks goes into its queue from now on.
    pub fn attach(&mut self, edge: EdgeStatus, index: u64) -> (u64, mpsc::Receiver<Word>) {
        let (send, queue) = mpsc::channel(256);
        self.next += 1;
        let (id, now) = (self.next, self.now());
        self.drift.checker.attach(now, edge.id, edge.incarnation);
        self.feeds.insert(
            id,
            Feed { edge: edge.id, incarnation: edge.incarnation, sent: index, folded: index, send },
        );
        self.registry.record_edge(now, edge, 0);
        self.feed(id);
        (id, queue)
    }

    /// An edge's connection has ended.
    pub fn detach(&mut self, id: u64) {
        if let Some(feed) = self.feeds.remove(&id) {
            let other =
                self.feeds.values().any(|it| (it.edge, it.incarnation) == (feed.edge, feed.incarnation));
            if !other {
                self.drift.checker.detach(feed.edge, feed.incarnation);
            }
        }
    }

    /// Whether an edge's connection still counts: one that doesn't take what it is sent is ended.
    pub fn attached(&self, id: u64) -> bool {
        self.feeds.contains_key(&id)
    }

    pub(super) fn feed(&mut self, id: u64) {
        let (index, configured) = (self.view.index, self.view.index > 0);
        let Some(feed) = self.feeds.get_mut(&id) else { return };
        if feed.sent >= index || !configured {
            return; // it knows as much, or more than this machine that lags
        }
        let reaches = self.recent.front().is_some_and(|(first, _)| *first <= feed.sent + 1) && feed.sent > 0;
        let message = if reaches {
            let from = self.recent.partition_point(|(at, _)| *at <= feed.sent);
            let entries =
                self.recent.iter().skip(from).map(|(at, bytes)| (*at, bytes.as_ref().clone())).collect();
            Some(Rc::new(encode_frame(&ToEdge::Entries(entries))))
        } else {
            if self.whole.as_ref().is_none_or(|(at, _)| *at != index) {
                self.whole =
                    Some((index, Rc::new(encode_frame(&ToEdge::Snapshot(self.view.to_compressed())))));
            }
            None
        };
        let Some(bytes) = message.or_else(|| self.whole.as_ref().map(|(_, bytes)| Rc::clone(bytes))) else {
            return;
        };
        feed.sent = index;
        if feed.send.try_send((None, bytes)).is_err() {
            self.feeds.remove(&id);
        }
    }

    /// What all edges here are told five times a second: made once, and left out where something still waits before it, so
    /// that a word is never old when it arrives.
    pub(super) fn pulse(&mut self, now: Time) {
        let loads = self.board.take_updates(now);
        self.drift.reflect(now, &self.view);
        let bytes = Rc::new(encode_frame(&self.pulsed(now, loads)));
        for feed in self.feeds.values() {
            if feed.send.capacity() == feed.send.max_capacity() {
                let _ = feed.send.try_send((Some(now), Rc::clone(&bytes)));
            }
        }
    }

    pub(super) fn pulsed(&self, now: Time, loads: Vec<(u32, u16)>) -> ToEdge {
        let mut cores = self.member.members().to_vec();
        if cores.is_empty() {
            cores.push(self.settings.id());
        }
        let leader_contact =
            self.member.has_recent_state(now, FRESH) && !self.member.has_lost_state() && !self.drift.odd(now);
        let edges = self.registry.ready_edges(now).len() as u32;
        ToEdge::Heartbeat { leader_contact, index: self.view.index, cores, edges, loads }
    }

    /// A step that was agreed, for an edge that this machine tells.
    pub(super) fn repair(&mut self, edge: u32, incarnation: u64, step: Step) {
        let of = |feed: &Feed| (feed.edge, feed.incarnation) == (edge, incarnation);
        let Some(id) = self.feeds.iter().find(|(_, feed)| of(feed)).map(|(id, _)| *id) else { return };
        let Some(feed) = self.feeds.get_mut(&id) else { return };
        match step {
            Step::Again => feed.sent = feed.folded.min(feed.sent),
            Step::Renew => {
                feed.sent = self.view.index;
                let whole = ToEdge::Rebuild(self.view.to_compressed());
                if feed.send.try_send((None, Rc::new(encode_frame(&whole)))).is_err() {
                    self.feeds.remove(&id); // it takes nothing: it will dial anew
                }
            }
            Step::Back | Step::Rest | Step::End => {
                let _ = feed.send.try_send((None, Rc::new(encode_frame(&ToEdge::Repair(step)))));
                // the next step is due if it is lost
            }
        }
    }
}
