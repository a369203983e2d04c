//! The address of an external service, which a reload may change while other threads wait on it. Whoever communicates
//! with the service reads the address with its generation, and registers the connection so that a change of address can
//! interrupt a wait on it.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

struct State {
    address: SocketAddr,
    generation: u64,
    closed: bool,
    connection: Option<Arc<TcpStream>>,
}

/// The address of a service, and the current connection to it.
pub struct Endpoint {
    state: Mutex<State>,
    changed: Condvar,
}

impl Endpoint {
    /// An endpoint with its first address, generation 0.
    pub fn new(address: SocketAddr) -> Endpoint {
        Endpoint {
            state: Mutex::new(State { address, generation: 0, closed: false, connection: None }),
            changed: Condvar::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address and its generation, which counts the changes of address.
    pub fn current(&self) -> (SocketAddr, u64) {
        let state = self.state();
        (state.address, state.generation)
    }

    /// Changes the address, which interrupts waits on the connection and pauses; false if the address is unchanged.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        let mut state = self.state();
        if state.address == address {
            return false;
        }
        (state.address, state.generation) = (address, state.generation + 1);
        self.disconnect(&mut state);
        true
    }

    /// Interrupts waits and pauses permanently.
    pub fn close(&self) {
        let mut state = self.state();
        state.closed = true;
        self.disconnect(&mut state);
    }

    fn disconnect(&self, state: &mut State) {
        if let Some(connection) = state.connection.take() {
            let _ = connection.shutdown(Shutdown::Both); // it may already be closed
        }
        self.changed.notify_all();
    }

    /// Whether the endpoint has been closed.
    pub fn is_closed(&self) -> bool {
        self.state().closed
    }

    /// Registers a connection made to the address of a generation. False if the address has changed since, or the
    /// endpoint is closed: nothing would interrupt a wait on a connection to the old address.
    pub fn register(&self, generation: u64, connection: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        let valid = state.generation == generation && !state.closed;
        if valid {
            state.connection = Some(connection.clone());
        }
        valid
    }

    /// Pauses before the next attempt to connect; a change of address ends the pause at once.
    pub fn pause(&self, generation: u64, time: Duration) {
        let waits = |state: &mut State| state.generation == generation && !state.closed;
        let paused = self.changed.wait_timeout_while(self.state(), time, waits);
        drop(paused.unwrap_or_else(PoisonError::into_inner));
    }
}
