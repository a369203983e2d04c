//! The bound that a socket has, by what its peer may not have read; nothing waits for it.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const SILENCE: Duration = Duration::from_millis(700);
const MESSAGE_TIME: Duration = Duration::from_secs(6);
const SMALL: usize = 500;
const LARGE: usize = 200_000;

async fn connected() -> (BoundedStream, Rc<Unread>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (peer, _) = listener.accept().await.unwrap();
    let unread = Unread::new(SILENCE);
    (BoundedStream::new(stream, Rc::clone(&unread)).unwrap(), unread, peer)
}

fn bound(stream: &BoundedStream) -> Duration {
    socket2::SockRef::from(&stream.stream).tcp_user_timeout().unwrap().unwrap()
}

async fn message(stream: &mut BoundedStream, peer: &mut TcpStream, unread: &Unread, bytes: usize) {
    unread.begin(MESSAGE_TIME);
    let (sent, mut read) = (vec![0; bytes], vec![0; bytes]);
    let (written, taken) = tokio::join!(stream.write_all(&sent), peer.read_exact(&mut read));
    written.unwrap();
    taken.unwrap();
}

/// Guards against taking a live peer that reads late for a silent host: it has the time of the message.
#[tokio::test]
async fn a_peer_has_the_time_of_a_message_that_its_host_may_not_take() {
    let (mut stream, unread, mut peer) = connected().await;
    message(&mut stream, &mut peer, &unread, SMALL).await;
    assert_eq!(bound(&stream), SILENCE, "a host without power is noticed as soon as ever");
    message(&mut stream, &mut peer, &unread, LARGE).await;
    assert_eq!(bound(&stream), MESSAGE_TIME);
}

/// Guards against the short bound while an earlier message, answered before it was read, still lies before the peer.
#[tokio::test]
async fn the_next_message_waits_behind_one_that_was_answered_early() {
    let (mut stream, unread, mut peer) = connected().await;
    message(&mut stream, &mut peer, &unread, LARGE).await;
    unread.answered();
    assert!(unread.is_large());
    message(&mut stream, &mut peer, &unread, SMALL).await;
    assert_eq!(bound(&stream), MESSAGE_TIME);
    unread.answered();
    message(&mut stream, &mut peer, &unread, SMALL).await;
    assert_eq!(bound(&stream), SILENCE, "an answer to the second says that the first was read");
}

/// Guards against a bound that is shorter than the one for silence where little time is left.
#[tokio::test]
async fn a_message_with_little_time_left_shortens_no_bound() {
    let (mut stream, unread, _peer) = connected().await;
    unread.begin(Duration::ZERO);
    stream.write_all(&vec![0; ALWAYS_TAKEN + 1]).await.unwrap();
    assert_eq!(bound(&stream), SILENCE);
}

/// Guards against reading in pieces as large as the reader's buffer, which may grow for the sake of a long head: answers came later
/// by a twentieth where many marshals were busy. All that was sent comes, in order.
#[tokio::test]
async fn a_large_buffer_is_filled_in_small_pieces() {
    let (mut stream, _, mut peer) = connected().await;
    let sent: Vec<u8> = (0..LARGE).map(|at| at as u8).collect();
    let all = sent.clone();
    let writer = tokio::spawn(async move { peer.write_all(&all).await });
    let (mut came, mut buffer) = (Vec::new(), vec![0; LARGE]);
    while came.len() < LARGE {
        let read = stream.read(&mut buffer).await.unwrap();
        assert!((1..=MOST_AT_ONCE).contains(&read), "{read} bytes at once");
        came.extend_from_slice(&buffer[..read]);
    }
    writer.await.unwrap().unwrap();
    assert!(came == sent);
    assert_eq!(stream.read(&mut buffer).await.unwrap(), 0, "the end of the stream is told");
    let mut nothing = [0; 0];
    assert_eq!(stream.read(&mut nothing).await.unwrap(), 0);
}
