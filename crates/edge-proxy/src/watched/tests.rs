//! Bytes as they come on a client's connection, in a clock of the test's own.

use super::*;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt};

const IDLE: Duration = Duration::from_secs(3);
const GUARD: Duration = Duration::from_secs(1);

/// Seconds, to a tenth, until the connection ends, where a byte comes at each of these; the clock is the test's own.
async fn ends(at: At, bytes: impl Iterator<Item = f64>) -> f64 {
    let begun = tokio::time::Instant::now();
    let (mut client, server) = duplex(64);
    let notes = Notes::new(Unread::new(IDLE));
    notes.at.set(at);
    let mut watched = Watched::new(server, notes, IDLE, GUARD);
    let writes = async {
        for due in bytes {
            tokio::time::sleep_until(begun + Duration::from_secs_f64(due)).await;
            let _ = client.write_all(b"x").await;
        }
        std::future::pending::<()>().await;
    };
    let reads = async {
        let mut rest = Vec::new();
        let _ = watched.read_to_end(&mut rest).await;
    };
    let late = tokio::time::sleep(Duration::from_secs(60));
    tokio::select! { _ = writes => {}, _ = reads => {}, _ = late => {} }
    (begun.elapsed().as_secs_f64() * 10.0).round() / 10.0
}

#[tokio::test(start_paused = true)]
async fn idle_connections_and_slow_heads_end_each_in_their_time() {
    assert_eq!(ends(At::Idle, std::iter::empty()).await, 3.0);
    // A head that drips ends a guard's time after its first byte, however long it may be idle.
    assert_eq!(ends(At::Idle, (5..500).map(|at| f64::from(at) * 0.1)).await, 1.5);
    // A request's body may take longer: its deadline bounds it.
    assert_eq!(ends(At::Request, (5..500).map(|at| f64::from(at) * 0.1)).await, 60.0);
}
