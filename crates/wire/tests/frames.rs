//! Frames on streams in memory, and settings that are read again.

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

fn pulse() -> ToEdge {
    ToEdge::Heartbeat { leader_contact: true, index: 9, cores: vec![1, 2, 3], edges: 8, loads: vec![(7, 3)] }
}

#[test]
fn messages_come_out_as_they_went_in_however_the_bytes_come() {
    for piece in [1, 2, 3, 5, 1_000] {
        run(async move {
            let (mut near, mut far) = duplex(64);
            let sent = vec![pulse(), ToEdge::LeafHashes, ToEdge::Entries(vec![(4, vec![1; 500])])];
            let bytes: Vec<u8> = sent.iter().flat_map(encode_frame).collect();
            let sending = tokio::task::spawn_local(async move {
                for part in bytes.chunks(piece) {
                    write_frame(&mut near, part).await.unwrap();
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
fn a_frame_cut_at_any_byte_is_no_message() {
    let bytes = encode_frame(&pulse());
    for cut in 0..bytes.len() {
        let part = bytes[..cut].to_vec();
        run(async move {
            let problem = read_frame::<ToEdge>(&mut part.as_slice()).await.unwrap_err();
            assert_eq!(problem.kind(), ErrorKind::UnexpectedEof, "cut at {cut}");
        });
    }
}

#[test]
fn a_length_beyond_any_frame_is_refused_before_its_bytes_are_waited_for() {
    run(async {
        let (mut near, mut far) = duplex(64);
        near.write_u32(MAX_FRAME_BYTES as u32 + 1).await.unwrap();
        let refused = tokio::time::timeout(Duration::from_secs(5), read_frame::<ToEdge>(&mut far)).await;
        assert_eq!(refused.expect("it waits").unwrap_err().kind(), ErrorKind::InvalidData);
    });
}

#[test]
fn bytes_of_another_message_are_refused() {
    run(async {
        let other = encode_frame(&Greeting::Core(7));
        assert_eq!(
            read_frame::<ToEdge>(&mut other.as_slice()).await.unwrap_err().kind(),
            ErrorKind::InvalidData
        );
    });
}

#[test]
fn settings_that_change_are_taken_and_those_that_can_not_be_read_change_nothing() {
    let text = |name: &str| {
        format!("[self]\nnodeName = \"{name}\"\nipAddress = \"10.0.0.9\"\nzone = \"a\"\nregion = \"north\"\n[network]\ninternalPorts = [7540, 7555]\n")
    };
    let path = std::env::temp_dir().join(format!("wire-settings-{}.toml", std::process::id()));
    std::fs::write(&path, text("first")).unwrap();
    let watched = path.clone();
    run(async move {
        let taken: Rc<RefCell<Vec<String>>> = Rc::default();
        let noted = Rc::clone(&taken);
        let take = move |settings: Settings| noted.borrow_mut().push(settings.own.node_name);
        tokio::task::spawn_local(watch_settings(watched.clone(), take));
        // The watcher looks once a second of the test's clock.
        for text in [text("first"), text("second"), "no settings".into(), text("second"), text("third")] {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            std::fs::write(&watched, text).unwrap();
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        std::fs::remove_file(&watched).unwrap();
        tokio::time::sleep(Duration::from_millis(3_000)).await;
        // Back to what stood before something unreadable: that is a change of the file, and taken again.
        assert_eq!(*taken.borrow(), ["second", "second", "third"]);
    });
}
