//! Answers among core machines reach the call that asked for them, or nobody.

use milletwing_config::Settings;
use milletwing_control_plane::calls::Calls;
use milletwing_control_plane::core::{Core, Writes};
use milletwing_wire::{Answer, PeerMessage};

const LEADER: u32 = 1;
const OTHER: u32 = 2;

#[test]
fn an_answer_to_an_earlier_life_reaches_no_call_of_this_one() {
    let mut before = Calls::new(7);
    let (old, _) = before.begin(LEADER);
    // The process was started again, and its first call has the same number.
    let mut calls = Calls::new(8);
    let (call, mut wait) = calls.begin(LEADER);
    assert_eq!(old.number, call.number);
    assert!(!calls.answered(LEADER, old, Answer::Done(3)));
    assert!(wait.try_recv().is_err(), "the answer to an earlier life was taken");
    assert!(calls.answered(LEADER, call, Answer::Done(4)));
    assert_eq!(wait.try_recv(), Ok(Answer::Done(4)));
}

#[test]
fn an_answer_counts_once_and_from_the_machine_that_was_asked() {
    let mut calls = Calls::new(7);
    let (call, mut wait) = calls.begin(LEADER);
    assert!(!calls.answered(OTHER, call, Answer::Done(3)), "a deposed leader's answer");
    assert!(calls.answered(LEADER, call, Answer::Refused(412, "stale".into())));
    assert_eq!(wait.try_recv(), Ok(Answer::Refused(412, "stale".into())));
    assert!(!calls.answered(LEADER, call, Answer::Done(4)), "a second answer");
    // One given up on is forgotten, and its late answer reaches nobody, whatever is asked meanwhile.
    let (late, gone) = calls.begin(LEADER);
    drop(gone);
    calls.forget();
    let (_, mut next) = calls.begin(LEADER);
    assert!(!calls.answered(LEADER, late, Answer::Done(5)));
    assert!(next.try_recv().is_err());
}

#[tokio::test]
async fn what_waits_on_a_connection_that_was_replaced_counts_for_nothing() {
    let text = "[self]\nnodeName = \"core\"\nipAddress = \"10.0.0.1\"\nzone = \"a\"\nregion = \"north\"\n\
        [network]\ninternalPorts = [7540, 7555]\nseedList = [\"10.0.0.1:8544\", \"10.0.0.2:8544\"]\n";
    let (send, _batches) = std::sync::mpsc::sync_channel(1);
    let writes = Writes { stored: Default::default(), send };
    let core = Core::start(Settings::parse(text).unwrap(), writes, 1).unwrap();
    let earlier = core.borrow_mut().dialled_by(OTHER);
    assert!(Core::heard(&core, OTHER, earlier, PeerMessage::Join));
    let newer = core.borrow_mut().dialled_by(OTHER);
    assert!(!Core::heard(&core, OTHER, earlier, PeerMessage::Join), "an earlier life's word");
    assert!(Core::heard(&core, OTHER, newer, PeerMessage::Join));
}
