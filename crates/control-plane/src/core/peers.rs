//! Links to the other machines of the core: who is known, what waits for whom.

use super::{Core, QUEUE};
use milletwing_consensus::MemberId;
use milletwing_wire::{encode_frame, PeerMessage};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};

impl Core {
    /// Another machine of the core was heard of.
    pub fn meet(&mut self, id: MemberId) {
        if id != self.settings.id() && !self.known.contains(&id) && self.known.len() < 64 {
            self.known.push(id);
        }
    }

    /// Opens the queue of a link; gives its other end, and the word that the machine has dialled this one.
    pub fn link(&mut self, id: MemberId) -> (mpsc::Receiver<Rc<Vec<u8>>>, Rc<Notify>) {
        let (send, queue) = mpsc::channel(QUEUE);
        let up = Rc::new(Notify::new());
        self.links.insert(id, (send, Rc::clone(&up)));
        (queue, up)
    }

    /// Another machine of the core has dialled this one. Gives the connection's number; what comes on an earlier one counts no
    /// more.
    pub fn dialled_by(&mut self, id: MemberId) -> u64 {
        self.meet(id);
        self.next += 1;
        self.connections.insert(id, self.next);
        self.gossiped.clear(); // it may know nothing
        if let Some((_, up)) = self.links.get(&id) {
            up.notify_waiters();
        }
        self.next
    }

    pub(super) fn post(&self, to: MemberId, peer: &PeerMessage) {
        if let Some((link, _)) = self.links.get(&to) {
            let _ = link.try_send(Rc::new(encode_frame(peer))); // a full link drops: the agreement sends again
        }
    }

    /// To all machines known; made once.
    pub(super) fn post_all(&self, peer: &PeerMessage) {
        let bytes = Rc::new(encode_frame(peer));
        for (link, _) in self.known.iter().filter_map(|id| self.links.get(id)) {
            let _ = link.try_send(Rc::clone(&bytes)); // a full link drops: such things are told again
        }
    }
}
