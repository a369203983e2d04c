//! Where an outside party listens: an address that a reload may move while others wait on it. Whoever speaks with
//! the party takes the address with its turn, and lends the connection so that a move can end a wait on it.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

struct Standing {
    at: SocketAddr,
    turn: u64,
    over: bool,
    line: Option<Arc<TcpStream>>,
}

/// The address of a party, and the connection to it.
pub struct Place {
    standing: Mutex<Standing>,
    changed: Condvar,
}

impl Place {
    /// A first address; its turn is 0.
    pub fn new(at: SocketAddr) -> Place {
        Place {
            standing: Mutex::new(Standing { at, turn: 0, over: false, line: None }),
            changed: Condvar::new(),
        }
    }

    fn standing(&self) -> MutexGuard<'_, Standing> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address, and how often it has moved.
    pub fn now(&self) -> (SocketAddr, u64) {
        let standing = self.standing();
        (standing.at, standing.turn)
    }

    /// Moves the party. Waits on the connection and pauses end at once; false where it is there already.
    pub fn move_to(&self, at: SocketAddr) -> bool {
        let mut standing = self.standing();
        if standing.at == at {
            return false;
        }
        (standing.at, standing.turn) = (at, standing.turn + 1);
        self.cut(&mut standing);
        true
    }

    /// Ends waits and pauses for good.
    pub fn end(&self) {
        let mut standing = self.standing();
        standing.over = true;
        self.cut(&mut standing);
    }

    fn cut(&self, standing: &mut Standing) {
        if let Some(line) = standing.line.take() {
            let _ = line.shutdown(Shutdown::Both); // it may have ended by itself
        }
        self.changed.notify_all();
    }

    /// Whether it has ended.
    pub fn over(&self) -> bool {
        self.standing().over
    }

    /// Lends a connection made in a turn. False where the party has moved since, or it is over: guards against a
    /// wait on the old address that nobody would end.
    pub fn lend(&self, turn: u64, line: &Arc<TcpStream>) -> bool {
        let mut standing = self.standing();
        let holds = standing.turn == turn && !standing.over;
        if holds {
            standing.line = Some(line.clone());
        }
        holds
    }

    /// Rests before the next try; a move ends the rest at once.
    pub fn rest(&self, turn: u64, time: Duration) {
        let waits = |standing: &mut Standing| standing.turn == turn && !standing.over;
        let rested = self.changed.wait_timeout_while(self.standing(), time, waits);
        drop(rested.unwrap_or_else(PoisonError::into_inner));
    }
}
