//! What is sent to edges: applied entries, snapshots of the state, heartbeats, and repair steps.

use super::{Core, EdgeFeed, EdgeFrame, Millis, FRESHNESS_MS};
use milletwing_drift_detection::Step;
use milletwing_replicated_state::EdgeStatus;
use milletwing_wire::{encode_frame, ToEdge};
use std::rc::Rc;
use tokio::sync::mpsc;

impl Core {
    /// Registers an edge's connection; from now on the entries that the edge lacks are put into its queue.
    pub fn attach_edge(&mut self, edge: EdgeStatus, index: u64) -> (u64, mpsc::Receiver<EdgeFrame>) {
        let (sender, queue) = mpsc::channel(256);
        self.last_id += 1;
        let (id, now) = (self.last_id, self.now());
        self.drift.checker.attach(now, edge.id, edge.incarnation);
        self.feeds.insert(
            id,
            EdgeFeed {
                edge: edge.id,
                incarnation: edge.incarnation,
                sent_index: index,
                applied_index: index,
                sender,
            },
        );
        self.registry.record_edge(now, edge, 0);
        self.send_updates(id);
        (id, queue)
    }

    /// Removes an edge's connection.
    pub fn detach_edge(&mut self, id: u64) {
        if let Some(feed) = self.feeds.remove(&id) {
            let still_connected = self
                .feeds
                .values()
                .any(|other| (other.edge, other.incarnation) == (feed.edge, feed.incarnation));
            if !still_connected {
                self.drift.checker.detach(feed.edge, feed.incarnation);
            }
        }
    }

    /// Whether an edge's connection is still registered.
    pub fn is_attached(&self, id: u64) -> bool {
        self.feeds.contains_key(&id)
    }

    /// Queues for an edge the entries that it lacks, or a snapshot of the state if some of them are no longer kept.
    /// An edge whose queue is full is removed.
    pub(super) fn send_updates(&mut self, id: u64) {
        let (index, has_state) = (self.view.index, self.view.index > 0);
        let Some(feed) = self.feeds.get_mut(&id) else { return };
        if feed.sent_index >= index || !has_state {
            return; // the edge knows as much, or more if this replica lags behind it
        }
        let can_resume = self.recent_entries.front().is_some_and(|(first, _)| *first <= feed.sent_index + 1)
            && feed.sent_index > 0;
        let message = if can_resume {
            let from = self.recent_entries.partition_point(|(at, _)| *at <= feed.sent_index);
            let entries = self
                .recent_entries
                .iter()
                .skip(from)
                .map(|(at, bytes)| (*at, bytes.as_ref().clone()))
                .collect();
            Some(Rc::new(encode_frame(&ToEdge::Entries(entries))))
        } else {
            if self.snapshot_frame.as_ref().is_none_or(|(at, _)| *at != index) {
                self.snapshot_frame =
                    Some((index, Rc::new(encode_frame(&ToEdge::Snapshot(self.view.to_compressed())))));
            }
            None
        };
        let Some(bytes) = message.or_else(|| self.snapshot_frame.as_ref().map(|(_, bytes)| Rc::clone(bytes)))
        else {
            return;
        };
        feed.sent_index = index;
        if feed.sender.try_send((None, bytes)).is_err() {
            self.feeds.remove(&id);
        }
    }

    /// Sends a heartbeat to all connected edges, five times a second. It is encoded once, and skipped for an
    /// edge whose queue is not empty, so that its contents are never old when it arrives.
    pub(super) fn broadcast_heartbeat(&mut self, now: Millis) {
        let loads = self.host_loads.take_updates(now);
        self.drift.update_own_digest(now, &self.view);
        let bytes = Rc::new(encode_frame(&self.heartbeat_message(now, loads)));
        for feed in self.feeds.values() {
            if feed.sender.capacity() == feed.sender.max_capacity() {
                let _ = feed.sender.try_send((Some(now), Rc::clone(&bytes)));
            }
        }
    }

    /// Builds a heartbeat.
    pub(super) fn heartbeat_message(&self, now: Millis, loads: Vec<(u32, u16)>) -> ToEdge {
        let mut cores = self.member.members().to_vec();
        if cores.is_empty() {
            cores.push(self.settings.id());
        }
        let leader_contact = self.member.has_recent_state(now, FRESHNESS_MS)
            && !self.member.has_lost_state()
            && !self.drift.is_outlier(now);
        let edges = self.registry.ready_edges(now).len() as u32;
        ToEdge::Heartbeat { leader_contact, index: self.view.index, cores, edges, loads }
    }

    /// Sends a committed repair step to an edge, if it is connected to this replica.
    pub(super) fn send_repair_step(&mut self, edge: u32, incarnation: u64, step: Step) {
        let is_recipient = |feed: &EdgeFeed| (feed.edge, feed.incarnation) == (edge, incarnation);
        let Some(id) = self.feeds.iter().find(|(_, feed)| is_recipient(feed)).map(|(id, _)| *id) else {
            return;
        };
        let Some(feed) = self.feeds.get_mut(&id) else { return };
        match step {
            Step::Again => feed.sent_index = feed.applied_index.min(feed.sent_index),
            Step::Renew => {
                feed.sent_index = self.view.index;
                let snapshot = ToEdge::Rebuild(self.view.to_compressed());
                if feed.sender.try_send((None, Rc::new(encode_frame(&snapshot)))).is_err() {
                    self.feeds.remove(&id); // the edge reads nothing: it will connect again
                }
            }
            Step::Back | Step::Rest | Step::End => {
                let _ = feed.sender.try_send((None, Rc::new(encode_frame(&ToEdge::Repair(step)))));
                // if this is lost, the next repair step comes in its place
            }
        }
    }
}
