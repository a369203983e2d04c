//! State that would grow too large is refused before it is proposed, so that no replica ends up with a
//! state that it cannot read.

#[path = "control/simulation.rs"]
#[allow(dead_code)]
mod simulation;

use milletwing_consensus::Role;
use milletwing_control_plane::core::{Core, SharedCore};
use milletwing_replicated_state::view::MAX_ADMITTED_BYTES;
use milletwing_replicated_state::{Beat, View};
use milletwing_wire::Answer;
use simulation::{ms, run, SharedSimulation, Simulation, REPLICAS};
use tokio::time::sleep;

async fn leader(simulation: &SharedSimulation) -> SharedCore {
    for _ in 0..1_000 {
        let leading = simulation.cores().into_iter().find(|(_, core)| {
            core.borrow().member.role() == Role::Leader && core.borrow().member.is_caught_up_leader()
        });
        if let Some((_, core)) = leading {
            return core;
        }
        sleep(ms(10)).await;
    }
    panic!("no replica became leader");
}

/// A marshal whose description has this many bytes.
fn beat(number: usize, size: usize) -> Beat {
    let address = format!("10.{}.{}.{}:80", 1 + number / 65_536, number / 256 % 256, number % 256);
    let body = format!(
        r#"{{"target":"s","address":"{address}","zone":"a","revision":"{}","capacity":4,"state":"available","callCounter":1}}"#,
        "v".repeat(size)
    );
    Beat::parse(body.as_bytes()).unwrap()
}

#[test]
fn a_state_that_no_replica_could_read_is_refused_before_it_is_proposed() {
    // Two such marshals are beyond the limit, as is one with a configuration of some megabytes.
    const SIZE: usize = MAX_ADMITTED_BYTES * 2 / 5;
    run(async {
        let simulation = Simulation::new(7);
        (1..=REPLICAS).for_each(|number| simulation.start(number));
        let core = leader(&simulation).await;
        let first = Core::heartbeat(&core, "i-1".into(), beat(1, SIZE), ms(3_000)).await;
        assert!(matches!(first, Answer::Done(_)), "{first:?}");
        let second = Core::heartbeat(&core, "i-2".into(), beat(2, SIZE), ms(3_000)).await;
        let Answer::Refused(status, why) = second else { panic!("{second:?}") };
        assert_eq!(status, 413);
        assert!(why.contains("the state would have"), "{why}");
        // So is a large configuration, with an error that goes to its operator.
        let text =
            format!(r#"{{"revision":1,"routing":{{}},"targets":{{}},"note":"{}"}}"#, "x".repeat(3 << 20));
        let refusal = Core::configure(&core, Some(0), text.as_bytes(), ms(3_000)).await.unwrap_err();
        assert_eq!(refusal.response().status, 413);
        // A small configuration still fits, and every replica can read the resulting state.
        let small = br#"{"revision":1,"routing":{},"targets":{}}"#;
        let accepted = Core::configure(&core, Some(0), small, ms(3_000)).await.unwrap();
        assert!(matches!(accepted, Answer::Done(_)), "{accepted:?}");
        let view = core.borrow().view.clone();
        assert!(View::from_compressed(&view.to_compressed()).is_ok());
        assert!(
            view.max_encoded_size() >= view.to_bytes().len(),
            "the weight is not an upper bound of the bytes"
        );
    });
}
