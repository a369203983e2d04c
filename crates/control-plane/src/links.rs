//! Connections to other machines of the core. Each dials every other and sends; what is accepted is only read.

use crate::core::{Core, Shared};
use milletwing_consensus::MemberId;
use milletwing_wire::{self as wire, encode_frame, Greeting, PeerMessage};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream};

/// Part of the descriptors that connections on the internal port may take: an edge has one, a core machine two.
const SHARE: f64 = 0.3;
/// Connections there at once where the settings grant few descriptors.
const LEAST: usize = 1024;

/// After so long without a sign that bytes arrive, a connection is ended.
pub const PATIENCE: Duration = Duration::from_millis(800);

/// A connection that doesn't come up in this time is begun anew: what was sent to a machine before it had power is lost,
/// and one that is up answers within a round trip.
const DIAL: Duration = Duration::from_millis(250);

/// Dials whoever is known and not dialled yet.
pub async fn dial(core: Shared) {
    let mut begun = HashSet::new();
    loop {
        let known = core.borrow().known.clone();
        for id in known {
            if begun.insert(id) {
                tokio::task::spawn_local(send(Rc::clone(&core), id));
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn send(core: Shared, to: MemberId) {
    let (own, port) = (core.borrow().settings.id(), core.borrow().settings.network.internal_ports.0);
    let (mut queue, up) = core.borrow_mut().link(to);
    loop {
        let dialled = tokio::select! {
            dialled = wire::connect(wire::internal_address(to, port), DIAL) => dialled,
            // It has dialled us: what we sent before it had power is lost.
            _ = up.notified() => continue,
        };
        if let Ok(stream) = dialled {
            let _ = wire::configure_stream(&stream, PATIENCE);
            let mut stream = BufWriter::new(stream);
            if wire::write_frame(&mut stream, &encode_frame(&Greeting::Core(own))).await.is_ok() {
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

/// Accepts machines of the core, and edges.
pub async fn accept(core: Shared, listener: TcpListener) {
    let open = Rc::new(());
    let granted = core.borrow().settings.own.thresholds.max_files as f64;
    let most = LEAST.max((granted * SHARE) as usize);
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open) <= most => {
                let (core, open) = (Rc::clone(&core), Rc::clone(&open));
                tokio::task::spawn_local(async move {
                    let _ = welcome(core, stream).await; // whoever it is dials again
                    drop(open);
                });
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn welcome(core: Shared, stream: TcpStream) -> Result<(), std::io::Error> {
    wire::configure_stream(&stream, PATIENCE)?;
    let (read, write) = stream.into_split();
    let mut read = BufReader::with_capacity(4096, read);
    let greeting = tokio::time::timeout(Duration::from_secs(2), wire::read_frame(&mut read));
    match greeting.await.map_err(|_| std::io::ErrorKind::TimedOut)?? {
        Greeting::Core(id) => {
            let connection = core.borrow_mut().dialled_by(id);
            // Silence of a machine that can't say so ends the connection: its calls come ten times a second or its
            // knowledge twice.
            while let Ok(peer) =
                tokio::time::timeout(Duration::from_secs(5), wire::read_frame::<PeerMessage>(&mut read)).await
            {
                if !Core::heard(&core, id, connection, peer?) {
                    break;
                }
            }
        }
        Greeting::Edge(edge, index) => crate::feeds::serve(core, edge, index, read, write).await,
    }
    Ok(())
}
