//! Connections of edges: entries as they are folded here, a pulse in between, and the edges' own beats.

use crate::core::Shared;
use milletwing_replicated_state::EdgeStatus;
use milletwing_wire::{self as wire, FromEdge};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};

/// Milliseconds after which a pulse is not sent any more.
const LATE: u64 = 100;

/// Serves an edge until either side ends.
pub async fn serve(
    core: Shared,
    edge: EdgeStatus,
    index: u64,
    mut read: impl AsyncRead + Unpin + 'static,
    mut write: impl AsyncWrite + Unpin,
) {
    let (id, mut queue) = core.borrow_mut().attach(edge, index);
    let hearing = Rc::clone(&core);
    let hears = tokio::task::spawn_local(async move {
        while let Ok(Ok(up)) =
            tokio::time::timeout(Duration::from_secs(3), wire::read_frame::<FromEdge>(&mut read)).await
        {
            let core = &mut *hearing.borrow_mut();
            match up {
                FromEdge::Report(said) => core.beaten(id, *said),
                FromEdge::LeafHashes(names) => core.named(id, &names),
            }
        }
        hearing.borrow_mut().detach(id);
    });
    while let Some((made, bytes)) = queue.recv().await {
        // A pulse that has waited is no word on how things are; the next one is due.
        if made.is_some_and(|made| core.borrow().now() > made + LATE) {
            continue;
        }
        if !core.borrow().attached(id) || wire::write_frame(&mut write, &bytes).await.is_err() {
            break;
        }
    }
    hears.abort();
    core.borrow_mut().detach(id);
}
