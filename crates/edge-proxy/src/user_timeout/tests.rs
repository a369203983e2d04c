//! The user timeout that is set on a socket, depending on what its peer may not have read. No test
//! waits for it to expire.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const SILENCE: Duration = Duration::from_millis(700);
const MESSAGE_TIME: Duration = Duration::from_secs(6);
const SMALL: usize = 500;
const LARGE: usize = 200_000;

async fn connected() -> (AdaptiveTimeoutStream, Rc<UnreadTracker>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (peer, _) = listener.accept().await.unwrap();
    let unread = UnreadTracker::new(SILENCE);
    (AdaptiveTimeoutStream::new(stream, Rc::clone(&unread)).unwrap(), unread, peer)
}

fn socket_timeout(stream: &AdaptiveTimeoutStream) -> Duration {
    socket2::SockRef::from(&stream.stream).tcp_user_timeout().unwrap().unwrap()
}

async fn send_message(
    stream: &mut AdaptiveTimeoutStream,
    peer: &mut TcpStream,
    unread: &UnreadTracker,
    bytes: usize,
) {
    unread.start_message(MESSAGE_TIME);
    let (sent, mut read) = (vec![0; bytes], vec![0; bytes]);
    let (written, delivered) = tokio::join!(stream.write_all(&sent), peer.read_exact(&mut read));
    written.unwrap();
    delivered.unwrap();
}

/// Guards against taking a live peer that reads late for a silent host: the peer has the time
/// allowed for the message.
#[tokio::test]
async fn large_message_extends_the_timeout() {
    let (mut stream, unread, mut peer) = connected().await;
    send_message(&mut stream, &mut peer, &unread, SMALL).await;
    assert_eq!(socket_timeout(&stream), SILENCE, "a host without power is still detected early");
    send_message(&mut stream, &mut peer, &unread, LARGE).await;
    assert_eq!(socket_timeout(&stream), MESSAGE_TIME);
}

/// Guards against the short timeout while an earlier message, which was answered before it was
/// read, is still unread.
#[tokio::test]
async fn unread_earlier_message_keeps_the_longer_timeout() {
    let (mut stream, unread, mut peer) = connected().await;
    send_message(&mut stream, &mut peer, &unread, LARGE).await;
    unread.on_response();
    assert!(unread.may_exceed_window());
    send_message(&mut stream, &mut peer, &unread, SMALL).await;
    assert_eq!(socket_timeout(&stream), MESSAGE_TIME);
    unread.on_response();
    send_message(&mut stream, &mut peer, &unread, SMALL).await;
    assert_eq!(
        socket_timeout(&stream),
        SILENCE,
        "a response to the second message means that the first was read"
    );
}

/// Guards against a timeout shorter than the one for silence when little time is left.
#[tokio::test]
async fn expired_message_time_does_not_shorten_the_timeout() {
    let (mut stream, unread, _peer) = connected().await;
    unread.start_message(Duration::ZERO);
    stream.write_all(&vec![0; MIN_RECEIVE_WINDOW + 1]).await.unwrap();
    assert_eq!(socket_timeout(&stream), SILENCE);
}

/// Guards against reads as large as the reader's buffer, which may grow for a long head: with many
/// busy marshals, responses then arrived later by a twentieth. All bytes arrive, in order.
#[tokio::test]
async fn reads_are_limited_in_size() {
    let (mut stream, _, mut peer) = connected().await;
    let sent: Vec<u8> = (0..LARGE).map(|index| index as u8).collect();
    let all_bytes = sent.clone();
    let writer = tokio::spawn(async move { peer.write_all(&all_bytes).await });
    let (mut received, mut buffer) = (Vec::new(), vec![0; LARGE]);
    while received.len() < LARGE {
        let read = stream.read(&mut buffer).await.unwrap();
        assert!((1..=MAX_READ).contains(&read), "{read} bytes at once");
        received.extend_from_slice(&buffer[..read]);
    }
    writer.await.unwrap().unwrap();
    assert!(received == sent);
    assert_eq!(stream.read(&mut buffer).await.unwrap(), 0, "the end of the stream is reported");
    let mut empty = [0; 0];
    assert_eq!(stream.read(&mut empty).await.unwrap(), 0);
}
