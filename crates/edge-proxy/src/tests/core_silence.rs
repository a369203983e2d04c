//! How soon an edge leaves a core machine that is silent or has lost contact with its leader. Each
//! limit fails if its constant is made four times as long.

use super::{edge, run, Arrivals};
use crate::core_feed::listen;
use milletwing_wire::{encode_frame, ToEdge};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, split, AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

/// Interval between two pulses of a core machine.
const PULSE_INTERVAL: Duration = Duration::from_millis(200);

fn pulse(fresh: bool) -> Vec<u8> {
    encode_frame(&ToEdge::Heartbeat {
        leader_contact: fresh,
        index: 100,
        cores: vec![1, 2, 3],
        edges: 3,
        loads: Vec::new(),
    })
}

/// Sends pulses at their normal interval: first `fresh` ones with contact to the leader, then
/// `stale` ones without; then nothing.
async fn core_machine(mut stream: DuplexStream, fresh: usize, stale: usize) {
    for index in 0..fresh + stale {
        if stream.write_all(&pulse(index < fresh)).await.is_err() {
            return; // the edge has left
        }
        tokio::time::sleep(PULSE_INTERVAL).await;
    }
    std::future::pending::<()>().await;
}

/// How long an edge listens to the machine, and why it stops.
async fn listen_duration(fresh: usize, stale: usize) -> (Duration, String) {
    let edge = edge(1, &Arrivals::default(), Rc::new(|_, _, _| Box::pin(async {})));
    let (edge_end, core_end) = duplex(1 << 16);
    tokio::task::spawn_local(core_machine(core_end, fresh, stale));
    let (reader, writer) = split(edge_end);
    let started = Instant::now();
    let mut cores = Vec::new();
    let reason = listen(&edge, reader, writer, &mut cores).await;
    (started.elapsed(), reason)
}

#[test]
fn silent_core_machine_is_abandoned() {
    run(async {
        let (elapsed, reason) = listen_duration(5, 0).await;
        assert_eq!(reason, "silent");
        // The last pulse was sent after four intervals.
        let silence = elapsed - PULSE_INTERVAL * 4;
        assert!(silence <= Duration::from_millis(1_000), "after {silence:?}");
        assert!(
            silence >= Duration::from_millis(800),
            "a few late pulses must not count as silence: {silence:?}"
        );
    });
}

#[test]
fn core_machine_without_leader_contact_is_abandoned() {
    run(async {
        let (elapsed, reason) = listen_duration(5, 100).await;
        assert!(reason.contains("lost contact with its leader"), "{reason}");
        let stale = elapsed - PULSE_INTERVAL * 4;
        assert!(stale <= Duration::from_millis(1_000), "after {stale:?}");
    });
}

#[test]
fn active_core_machine_is_kept() {
    run(async {
        let (elapsed, _) = listen_duration(100, 0).await;
        assert!(elapsed >= PULSE_INTERVAL * 99, "left after {elapsed:?}");
    });
}
