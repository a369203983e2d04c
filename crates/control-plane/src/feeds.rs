//! Connections of edges: log entries as they are applied here, periodic heartbeats, and the edges'
//! own reports.

use crate::core::SharedCore;
use milletwing_replicated_state::EdgeStatus;
use milletwing_wire::{self as wire, FromEdge};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};

/// Age in milliseconds beyond which a heartbeat is no longer sent.
const MAX_HEARTBEAT_AGE_MS: u64 = 100;

/// Serves an edge until either side closes the connection.
pub async fn serve(
    core: SharedCore,
    edge: EdgeStatus,
    index: u64,
    mut read: impl AsyncRead + Unpin + 'static,
    mut write: impl AsyncWrite + Unpin,
) {
    let (id, mut queue) = core.borrow_mut().attach_edge(edge, index);
    let reader_core = Rc::clone(&core);
    let reader = tokio::task::spawn_local(async move {
        while let Ok(Ok(message)) =
            tokio::time::timeout(Duration::from_secs(3), wire::read_frame::<FromEdge>(&mut read)).await
        {
            let core = &mut *reader_core.borrow_mut();
            match message {
                FromEdge::Report(report) => core.on_edge_report(id, *report),
                FromEdge::LeafHashes(names) => core.on_leaf_hashes(id, &names),
            }
        }
        reader_core.borrow_mut().detach_edge(id);
    });
    while let Some((made_at, bytes)) = queue.recv().await {
        // The contents of a delayed heartbeat are no longer true; the next one is due soon.
        if made_at.is_some_and(|made_at| core.borrow().now() > made_at + MAX_HEARTBEAT_AGE_MS) {
            continue;
        }
        if !core.borrow().is_attached(id) || wire::write_frame(&mut write, &bytes).await.is_err() {
            break;
        }
    }
    reader.abort();
    core.borrow_mut().detach_edge(id);
}
