//! Connections to other control-plane replicas. Each replica dials every other one to send; accepted
//! connections are only read.

use crate::core::{Core, SharedCore};
use milletwing_consensus::MemberId;
use milletwing_wire::{self as wire, encode_frame, Greeting, PeerMessage};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream};

/// Share of the file descriptors that connections on the internal port may take: an edge has one, a
/// control-plane replica two.
const CONNECTION_SHARE: f64 = 0.3;
/// Number of connections on the internal port that is always allowed, even if the settings grant few file
/// descriptors.
const MIN_CONNECTION_LIMIT: usize = 1024;

/// A connection is closed after this long without a sign that data arrives.
pub const DEAD_CONNECTION_TIMEOUT: Duration = Duration::from_millis(800);

/// A connection attempt that takes longer is restarted: packets sent to a machine before it was powered
/// on are lost, and a running machine answers within a round trip.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Starts a sender task for each known replica that does not have one yet.
pub async fn dial(core: SharedCore) {
    let mut started = HashSet::new();
    loop {
        let known = core.borrow().known_replicas.clone();
        for id in known {
            if started.insert(id) {
                tokio::task::spawn_local(run_sender(Rc::clone(&core), id));
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Connects to a replica, again after each failure, and sends what its link's queue holds.
async fn run_sender(core: SharedCore, to: MemberId) {
    let (own_id, port) = (core.borrow().settings.id(), core.borrow().settings.network.internal_ports.0);
    let (mut queue, dialled_by_peer) = core.borrow_mut().open_link(to);
    loop {
        let dialled = tokio::select! {
            dialled = wire::connect(wire::internal_address(to, port), DIAL_TIMEOUT) => dialled,
            // The replica has dialled this one: what was sent to it before it was powered on is lost.
            _ = dialled_by_peer.notified() => continue,
        };
        if let Ok(stream) = dialled {
            let _ = wire::configure_stream(&stream, DEAD_CONNECTION_TIMEOUT);
            let mut stream = BufWriter::new(stream);
            if wire::write_frame(&mut stream, &encode_frame(&Greeting::Core(own_id))).await.is_ok() {
                while let Some(bytes) = queue.recv().await {
                    if wire::write_frame(&mut stream, &bytes).await.is_err() {
                        break;
                    }
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Accepts connections from replicas and edges.
pub async fn accept(core: SharedCore, listener: TcpListener) {
    let open_connections = Rc::new(());
    let max_files = core.borrow().settings.own.thresholds.max_files as f64;
    let max_connections = MIN_CONNECTION_LIMIT.max((max_files * CONNECTION_SHARE) as usize);
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open_connections) <= max_connections => {
                let (core, open_connections) = (Rc::clone(&core), Rc::clone(&open_connections));
                tokio::task::spawn_local(async move {
                    let _ = serve_connection(core, stream).await; // on an error the other side dials again
                    drop(open_connections);
                });
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Serves an accepted connection of a replica or an edge until it ends.
async fn serve_connection(core: SharedCore, stream: TcpStream) -> Result<(), std::io::Error> {
    wire::configure_stream(&stream, DEAD_CONNECTION_TIMEOUT)?;
    let (read, write) = stream.into_split();
    let mut read = BufReader::with_capacity(4096, read);
    let greeting = tokio::time::timeout(Duration::from_secs(2), wire::read_frame(&mut read));
    match greeting.await.map_err(|_| std::io::ErrorKind::TimedOut)?? {
        Greeting::Core(id) => {
            let connection = core.borrow_mut().on_inbound_connection(id);
            // A replica that stops without closing the connection is detected by its silence: it normally
            // sends consensus heartbeats ten times a second or status gossip twice a second.
            while let Ok(message) =
                tokio::time::timeout(Duration::from_secs(5), wire::read_frame::<PeerMessage>(&mut read)).await
            {
                if !Core::on_peer_message(&core, id, connection, message?) {
                    break;
                }
            }
        }
        Greeting::Edge(edge, index) => crate::feeds::serve(core, edge, index, read, write).await,
    }
    Ok(())
}
