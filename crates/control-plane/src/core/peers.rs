//! Links to the other control-plane replicas: which are known, and what waits to be sent to each.

use super::{Core, LINK_QUEUE_FRAMES};
use milletwing_consensus::MemberId;
use milletwing_wire::{encode_frame, PeerMessage};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};

impl Core {
    /// Records that another replica exists.
    pub fn add_known_replica(&mut self, id: MemberId) {
        if id != self.settings.id() && !self.known_replicas.contains(&id) && self.known_replicas.len() < 64 {
            self.known_replicas.push(id);
        }
    }

    /// Opens the queue of a link. Returns its receiver, and the notification that the replica has dialled
    /// this one.
    pub fn open_link(&mut self, id: MemberId) -> (mpsc::Receiver<Rc<Vec<u8>>>, Rc<Notify>) {
        let (sender, queue) = mpsc::channel(LINK_QUEUE_FRAMES);
        let dialled_by_peer = Rc::new(Notify::new());
        self.links.insert(id, (sender, Rc::clone(&dialled_by_peer)));
        (queue, dialled_by_peer)
    }

    /// Registers a connection that another replica has made to this one. Returns the connection's number;
    /// messages on earlier connections no longer count.
    pub fn on_inbound_connection(&mut self, id: MemberId) -> u64 {
        self.add_known_replica(id);
        self.last_id += 1;
        self.connections.insert(id, self.last_id);
        self.gossiped_edges.clear(); // the replica may have just started and know no edges
        if let Some((_, dialled_by_peer)) = self.links.get(&id) {
            dialled_by_peer.notify_waiters();
        }
        self.last_id
    }

    /// Sends a message to another replica, if there is a link to it.
    pub(super) fn send_to(&self, to: MemberId, message: &PeerMessage) {
        if let Some((link, _)) = self.links.get(&to) {
            // Dropped if the link's queue is full: the consensus protocol sends again.
            let _ = link.try_send(Rc::new(encode_frame(message)));
        }
    }

    /// Sends a message, encoded once, to all known replicas.
    pub(super) fn broadcast(&self, message: &PeerMessage) {
        let bytes = Rc::new(encode_frame(message));
        for (link, _) in self.known_replicas.iter().filter_map(|id| self.links.get(id)) {
            // Dropped if the link's queue is full: such messages are sent periodically.
            let _ = link.try_send(Rc::clone(&bytes));
        }
    }
}
