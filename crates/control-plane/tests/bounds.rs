//! What is refused before it is agreed, so that no machine is left with a state that it can't read.

#[path = "control/machines.rs"]
#[allow(dead_code)]
mod machines;

use machines::{ms, Net, World, MACHINES};
use milletwing_consensus::Role;
use milletwing_control_plane::core::{Core, Shared};
use milletwing_replicated_state::view::MAX_ADMITTED_BYTES;
use milletwing_replicated_state::{Beat, View};
use milletwing_wire::Answer;
use std::future::Future;
use tokio::time::sleep;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.unwrap(), test);
}

async fn leader(net: &Net) -> Shared {
    for _ in 0..1_000 {
        let led = net.cores().into_iter().find(|(_, core)| {
            core.borrow().member.role() == Role::Leader && core.borrow().member.is_caught_up_leader()
        });
        if let Some((_, core)) = led {
            return core;
        }
        sleep(ms(10)).await;
    }
    panic!("nobody leads");
}

/// A marshal whose description has so many bytes.
fn beat(at: usize, size: usize) -> Beat {
    let address = format!("10.{}.{}.{}:80", 1 + at / 65_536, at / 256 % 256, at % 256);
    let body = format!(
        r#"{{"target":"s","address":"{address}","zone":"a","revision":"{}","capacity":4,"state":"available","callCounter":1}}"#,
        "v".repeat(size)
    );
    Beat::parse(body.as_bytes()).unwrap()
}

#[test]
fn a_state_that_no_machine_could_read_is_refused_before_it_is_agreed() {
    // Two of them are beyond the bound, as is one with a configuration of some megabytes.
    const SIZE: usize = MAX_ADMITTED_BYTES * 2 / 5;
    run(async {
        let net = World::new(7);
        (1..=MACHINES).for_each(|at| net.start(at));
        let core = leader(&net).await;
        let first = Core::beat(&core, "i-1".into(), beat(1, SIZE), ms(3_000)).await;
        assert!(matches!(first, Answer::Done(_)), "{first:?}");
        let second = Core::beat(&core, "i-2".into(), beat(2, SIZE), ms(3_000)).await;
        let Answer::Refused(status, why) = second else { panic!("{second:?}") };
        assert_eq!(status, 413);
        assert!(why.contains("the state would have"), "{why}");
        // So is a configuration, by the words that its operator is told.
        let text =
            format!(r#"{{"revision":1,"routing":{{}},"targets":{{}},"note":"{}"}}"#, "x".repeat(3 << 20));
        let told = Core::configure(&core, Some(0), text.as_bytes(), ms(3_000)).await.unwrap_err();
        assert_eq!(told.response().status, 413);
        // A small one still has room, and every machine reads what stands.
        let small = br#"{"revision":1,"routing":{},"targets":{}}"#;
        let taken = Core::configure(&core, Some(0), small, ms(3_000)).await.unwrap();
        assert!(matches!(taken, Answer::Done(_)), "{taken:?}");
        let view = core.borrow().view.clone();
        assert!(View::from_compressed(&view.to_compressed()).is_ok());
        assert!(view.max_encoded_size() >= view.to_bytes().len(), "the weight is no bound of the bytes");
    });
}
