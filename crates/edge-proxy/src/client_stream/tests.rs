//! Time limits of a client connection, with a paused clock.

use super::*;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt};

const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Seconds, rounded to a tenth, until the connection ends if a byte is written at each of the given
/// times.
async fn seconds_until_end(phase: ConnectionPhase, write_times: impl Iterator<Item = f64>) -> f64 {
    let started = tokio::time::Instant::now();
    let (mut client, server) = duplex(64);
    let state = ConnectionState::new(UnreadTracker::new(IDLE_TIMEOUT));
    state.phase.set(phase);
    let mut client_stream = ClientStream::new(server, state, IDLE_TIMEOUT, HEAD_TIMEOUT);
    let writes = async {
        for time in write_times {
            tokio::time::sleep_until(started + Duration::from_secs_f64(time)).await;
            let _ = client.write_all(b"x").await;
        }
        std::future::pending::<()>().await;
    };
    let reads = async {
        let mut rest = Vec::new();
        let _ = client_stream.read_to_end(&mut rest).await;
    };
    let limit = tokio::time::sleep(Duration::from_secs(60));
    tokio::select! { _ = writes => {}, _ = reads => {}, _ = limit => {} }
    (started.elapsed().as_secs_f64() * 10.0).round() / 10.0
}

#[tokio::test(start_paused = true)]
async fn idle_connections_and_slow_heads_time_out() {
    assert_eq!(seconds_until_end(ConnectionPhase::Idle, std::iter::empty()).await, 3.0);
    // A head that arrives slowly is ended one head timeout after its first byte, even though the
    // idle timeout is longer.
    assert_eq!(
        seconds_until_end(ConnectionPhase::Idle, (5..500).map(|tenth| f64::from(tenth) * 0.1)).await,
        1.5
    );
    // The body of a request may take longer: it is limited by the deadline of the request.
    assert_eq!(
        seconds_until_end(ConnectionPhase::Request, (5..500).map(|tenth| f64::from(tenth) * 0.1)).await,
        60.0
    );
}
