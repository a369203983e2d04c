//! Answers between replicas reach the call that they belong to, or no call.

use milletwing_config::Settings;
use milletwing_control_plane::core::{Core, LogStorage};
use milletwing_control_plane::forwarded_calls::ForwardedCalls;
use milletwing_wire::{Answer, PeerMessage};

const LEADER: u32 = 1;
const OTHER: u32 = 2;

#[test]
fn an_answer_to_an_earlier_incarnation_is_dropped() {
    let mut earlier_calls = ForwardedCalls::new(7);
    let (earlier_call, _) = earlier_calls.begin(LEADER);
    // The process was restarted, and its first call has the same number.
    let mut calls = ForwardedCalls::new(8);
    let (call, mut receiver) = calls.begin(LEADER);
    assert_eq!(earlier_call.number, call.number);
    assert!(!calls.deliver(LEADER, earlier_call, Answer::Done(3)));
    assert!(receiver.try_recv().is_err(), "the answer to an earlier incarnation was delivered");
    assert!(calls.deliver(LEADER, call, Answer::Done(4)));
    assert_eq!(receiver.try_recv(), Ok(Answer::Done(4)));
}

#[test]
fn an_answer_is_delivered_once_and_only_from_the_replica_that_was_called() {
    let mut calls = ForwardedCalls::new(7);
    let (call, mut receiver) = calls.begin(LEADER);
    assert!(!calls.deliver(OTHER, call, Answer::Done(3)), "the answer of a deposed leader was delivered");
    assert!(calls.deliver(LEADER, call, Answer::Refused(412, "stale".into())));
    assert_eq!(receiver.try_recv(), Ok(Answer::Refused(412, "stale".into())));
    assert!(!calls.deliver(LEADER, call, Answer::Done(4)), "a second answer was delivered");
    // A call that was given up on is removed, and its late answer reaches no other call.
    let (abandoned_call, abandoned) = calls.begin(LEADER);
    drop(abandoned);
    calls.remove_abandoned();
    let (_, mut next_receiver) = calls.begin(LEADER);
    assert!(!calls.deliver(LEADER, abandoned_call, Answer::Done(5)));
    assert!(next_receiver.try_recv().is_err());
}

#[tokio::test]
async fn messages_on_a_replaced_connection_are_ignored() {
    let text = "[self]\nnodeName = \"core\"\nipAddress = \"10.0.0.1\"\nzone = \"a\"\nregion = \"north\"\n\
        [network]\ninternalPorts = [7540, 7555]\nseedList = [\"10.0.0.1:8544\", \"10.0.0.2:8544\"]\n";
    let (sender, _batches) = std::sync::mpsc::sync_channel(1);
    let storage = LogStorage { stored: Default::default(), sender };
    let core = Core::start(Settings::parse(text).unwrap(), storage, 1).unwrap();
    let earlier_connection = core.borrow_mut().on_inbound_connection(OTHER);
    assert!(Core::on_peer_message(&core, OTHER, earlier_connection, PeerMessage::Join));
    let newer_connection = core.borrow_mut().on_inbound_connection(OTHER);
    assert!(
        !Core::on_peer_message(&core, OTHER, earlier_connection, PeerMessage::Join),
        "a message of an earlier incarnation was handled"
    );
    assert!(Core::on_peer_message(&core, OTHER, newer_connection, PeerMessage::Join));
}
