//! How soon an edge leaves a core machine that says nothing, or that does not hear its leader. Each bound fails where its constant is
//! made four times as long.

use super::{edge, run, Arrivals};
use crate::feed::listen;
use milletwing_wire::{encode_frame, ToEdge};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, split, AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

/// Between two pulses of a core machine.
const PULSE: Duration = Duration::from_millis(200);

fn pulse(fresh: bool) -> Vec<u8> {
    encode_frame(&ToEdge::Heartbeat {
        leader_contact: fresh,
        index: 100,
        cores: vec![1, 2, 3],
        edges: 3,
        loads: Vec::new(),
    })
}

/// Pulses at their pace: so many that hear the leader, then so many that don't; then nothing.
async fn core_machine(mut stream: DuplexStream, fresh: usize, stale: usize) {
    for at in 0..fresh + stale {
        if stream.write_all(&pulse(at < fresh)).await.is_err() {
            return; // the edge has left
        }
        tokio::time::sleep(PULSE).await;
    }
    std::future::pending::<()>().await;
}

/// How long an edge stays, and why it leaves.
async fn stays(fresh: usize, stale: usize) -> (Duration, String) {
    let edge = edge(1, &Arrivals::default(), Rc::new(|_, _, _| Box::pin(async {})));
    let (near, far) = duplex(1 << 16);
    tokio::task::spawn_local(core_machine(far, fresh, stale));
    let (read, write) = split(near);
    let begun = Instant::now();
    let mut cores = Vec::new();
    let why = listen(&edge, read, write, &mut cores).await;
    (begun.elapsed(), why)
}

#[test]
fn a_core_machine_that_says_nothing_is_left() {
    run(async {
        let (after, why) = stays(5, 0).await;
        assert_eq!(why, "silent");
        // The last pulse came after four pauses.
        let silence = after - PULSE * 4;
        assert!(silence <= Duration::from_millis(1_000), "after {silence:?}");
        assert!(silence >= Duration::from_millis(800), "a few late pulses are no silence: {silence:?}");
    });
}

#[test]
fn a_core_machine_that_does_not_hear_its_leader_is_left() {
    run(async {
        let (after, why) = stays(5, 100).await;
        assert!(why.contains("does not hear its leader"), "{why}");
        let stale = after - PULSE * 4;
        assert!(stale <= Duration::from_millis(1_000), "after {stale:?}");
    });
}

#[test]
fn a_core_machine_that_speaks_is_kept() {
    run(async {
        let (after, _) = stays(100, 0).await;
        assert!(after >= PULSE * 99, "left after {after:?}");
    });
}
