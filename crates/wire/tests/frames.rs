//! Tests frames on in-memory streams, and the watching of the settings file.

use milletwing_config::Settings;
use milletwing_wire::{
    encode_frame, read_frame, watch_settings, write_frame, Greeting, ToEdge, MAX_FRAME_BYTES,
};
use std::cell::RefCell;
use std::future::Future;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, AsyncWriteExt};

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.unwrap(), test);
}

fn heartbeat() -> ToEdge {
    ToEdge::Heartbeat { leader_contact: true, index: 9, cores: vec![1, 2, 3], edges: 8, loads: vec![(7, 3)] }
}

#[test]
fn messages_are_received_as_sent_whatever_the_size_of_the_chunks() {
    for chunk_size in [1, 2, 3, 5, 1_000] {
        run(async move {
            let (mut near, mut far) = duplex(64);
            let sent = vec![heartbeat(), ToEdge::LeafHashes, ToEdge::Entries(vec![(4, vec![1; 500])])];
            let bytes: Vec<u8> = sent.iter().flat_map(encode_frame).collect();
            let sending = tokio::task::spawn_local(async move {
                for chunk in bytes.chunks(chunk_size) {
                    write_frame(&mut near, chunk).await.unwrap();
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            });
            for wanted in &sent {
                assert_eq!(&read_frame::<ToEdge>(&mut far).await.unwrap(), wanted);
            }
            sending.await.unwrap();
            assert_eq!(read_frame::<ToEdge>(&mut far).await.unwrap_err().kind(), ErrorKind::UnexpectedEof);
        });
    }
}

#[test]
fn a_frame_truncated_at_any_byte_is_refused() {
    let bytes = encode_frame(&heartbeat());
    for length in 0..bytes.len() {
        let part = bytes[..length].to_vec();
        run(async move {
            let error = read_frame::<ToEdge>(&mut part.as_slice()).await.unwrap_err();
            assert_eq!(error.kind(), ErrorKind::UnexpectedEof, "truncated to {length} bytes");
        });
    }
}

#[test]
fn an_excessive_length_is_refused_without_waiting_for_its_bytes() {
    run(async {
        let (mut near, mut far) = duplex(64);
        near.write_u32(MAX_FRAME_BYTES as u32 + 1).await.unwrap();
        let refused = tokio::time::timeout(Duration::from_secs(5), read_frame::<ToEdge>(&mut far)).await;
        assert_eq!(
            refused.expect("the reader waits for the bytes").unwrap_err().kind(),
            ErrorKind::InvalidData
        );
    });
}

#[test]
fn a_frame_of_another_message_type_is_refused() {
    run(async {
        let other = encode_frame(&Greeting::Core(7));
        assert_eq!(
            read_frame::<ToEdge>(&mut other.as_slice()).await.unwrap_err().kind(),
            ErrorKind::InvalidData
        );
    });
}

#[test]
fn changed_settings_are_applied_and_unreadable_ones_are_ignored() {
    let text = |name: &str| {
        format!("[self]\nnodeName = \"{name}\"\nipAddress = \"10.0.0.9\"\nzone = \"a\"\nregion = \"north\"\n[network]\ninternalPorts = [7540, 7555]\n")
    };
    let path = std::env::temp_dir().join(format!("wire-settings-{}.toml", std::process::id()));
    std::fs::write(&path, text("first")).unwrap();
    let watched = path.clone();
    run(async move {
        let applied: Rc<RefCell<Vec<String>>> = Rc::default();
        let recorder = Rc::clone(&applied);
        let apply = move |settings: Settings| recorder.borrow_mut().push(settings.own.node_name);
        tokio::task::spawn_local(watch_settings(watched.clone(), apply));
        // The watcher reads the file once per second of the simulated clock.
        for text in [text("first"), text("second"), "no settings".into(), text("second"), text("third")] {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            std::fs::write(&watched, text).unwrap();
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        std::fs::remove_file(&watched).unwrap();
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        // Restoring the content from before the unreadable one is a change of the file, so it is applied again.
        assert_eq!(*applied.borrow(), ["second", "second", "third"]);
    });
}
