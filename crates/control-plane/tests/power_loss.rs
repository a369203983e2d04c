//! All machines lose power at the moment when one loses its disk, right after something was acknowledged: it holds. Nothing
//! acknowledged rests on the memory of any machine, or of an edge: none is part of this world.

#[path = "control/machines.rs"]
#[allow(dead_code)]
mod machines;

use machines::{ms, Net, World, MACHINES};
use milletwing_consensus::Role;
use milletwing_control_plane::core::{Core, Shared};
use milletwing_replicated_state::{Beat, RollOutState, View};
use milletwing_wire::{Answer, CoreRequest};
use std::future::Future;
use tokio::time::sleep;

const BODY: &[u8] = br#"{"revision":1,"routing":{},"targets":{"s":{"maxSessions":10}}}"#;
const NEXT: &[u8] = br#"{"revision":2,"routing":{},"targets":{"s":{"maxSessions":20}}}"#;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.unwrap(), test);
}

/// What an operator or a marshal was told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    Configuration,
    RollOut,
    Evacuation,
    TakenBack,
    Drain,
    Left,
}

fn marshal(state: &str, counter: u64) -> Beat {
    let text = format!(
        r#"{{"target":"s","address":"10.1.0.1:80","zone":"b","revision":"v1","capacity":4,"state":"{state}","callCounter":{counter}}}"#
    );
    Beat::parse(text.as_bytes()).unwrap()
}

impl Told {
    async fn order(self, core: &Shared) -> Answer {
        let within = ms(900);
        match self {
            Told::Configuration => {
                Core::configure(core, Some(1), NEXT, within).await.unwrap_or(Answer::Unknown)
            }
            Told::RollOut => {
                let ordered = Core::rollout(core, "s".into(), "v2".into(), 60_000, within).await;
                ordered.unwrap_or(Answer::Unknown)
            }
            Told::Evacuation => Core::evacuation(core, "b", true, within).await,
            Told::TakenBack => Core::evacuation(core, "b", false, within).await,
            Told::Drain => Core::beat(core, "i-1".into(), marshal("draining", 9), within).await,
            Told::Left => Core::order(core, CoreRequest::Leave { id: "i-1".into() }, within).await,
        }
    }

    fn holds(self, view: &View) -> bool {
        match self {
            Told::Configuration => view.revision == 2,
            Told::RollOut => {
                view.rollouts.get("s").is_some_and(|it| it.to == "v2" && it.state == RollOutState::Active)
            }
            Told::Evacuation => view.evacuated.contains_key("b"),
            Told::TakenBack => !view.evacuated.contains_key("b"),
            Told::Drain => view.is_leaving("i-1"),
            Told::Left => view.has_left("i-1") && !view.nodes.contains_key("i-1"),
        }
    }
}

/// Orders until it is acknowledged by this machine.
async fn insist(core: &Shared, order: impl AsyncFn() -> Answer) {
    for _ in 0..100 {
        if matches!(order().await, Answer::Done(_)) {
            return;
        }
        sleep(ms(50)).await;
    }
    panic!("not acknowledged at {:?}", core.borrow().member.role());
}

async fn settled(net: &Net) {
    for _ in 0..1_000 {
        let led = net.cores().iter().any(|(_, core)| {
            let core = core.borrow();
            core.member.role() == Role::Leader && core.member.is_caught_up_leader()
        });
        if led {
            return;
        }
        sleep(ms(20)).await;
    }
    panic!("nobody leads");
}

#[test]
fn what_was_acknowledged_outlives_the_loss_of_all_power_and_of_one_disk() {
    let all =
        [Told::Configuration, Told::RollOut, Told::Evacuation, Told::TakenBack, Told::Drain, Told::Left];
    let machines = || 1..=MACHINES;
    let cases = all
        .into_iter()
        .flat_map(|told| machines().flat_map(move |by| machines().map(move |lost| (told, by, lost))));
    for (seed, (told, by, lost)) in cases.enumerate() {
        run(async move {
            let net = World::new(seed as u64);
            machines().for_each(|at| net.start(at));
            settled(&net).await;
            let core = net.core(by).unwrap();
            insist(&core, async || {
                Core::configure(&core, Some(0), BODY, ms(900)).await.unwrap_or(Answer::Unknown)
            })
            .await;
            insist(&core, async || Core::beat(&core, "i-1".into(), marshal("available", 1), ms(900)).await)
                .await;
            if told == Told::TakenBack {
                insist(&core, async || Told::Evacuation.order(&core).await).await;
            }
            insist(&core, async || told.order(&core).await).await;
            // At this moment.
            machines().for_each(|at| net.kill(at, at == lost));
            drop(core);
            machines().for_each(|at| net.start(at));
            settled(&net).await;
            for (at, core) in net.cores() {
                insist(&core, async || match Core::read(&core, ms(900)).await {
                    Ok(index) => Answer::Done(index),
                    Err(_) => Answer::Unknown,
                })
                .await;
                let holds = told.holds(&core.borrow().view);
                assert!(holds, "{told:?}, acknowledged by {by}, disk of {lost} lost: gone at {at}");
            }
        });
    }
}
