//! The streams, on a runtime of one thread of its own.

use crate::settings::Settings;
use crate::told::Told;
use crate::wire::verdicts_server::{Verdicts, VerdictsServer};
use crate::wire::{FromProxy, ToProxy};
use crossbeam_channel::{Sender, TrySendError};
use std::io;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status, Streaming};

/// Longest message of a proxy.
const LONGEST: usize = 64 << 10;

struct Service {
    words: Sender<Told>,
    streams: Arc<AtomicUsize>,
    numbers: AtomicU64,
    most: usize,
    queue: usize,
}

/// One stream less, whatever ends it.
struct Counted(Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}

#[tonic::async_trait]
impl Verdicts for Service {
    type DecideStream = ReceiverStream<Result<ToProxy, Status>>;

    async fn decide(
        &self,
        request: Request<Streaming<FromProxy>>,
    ) -> Result<Response<Self::DecideStream>, Status> {
        let counted = Counted(self.streams.clone());
        if self.streams.fetch_add(1, SeqCst) >= self.most {
            return Err(Status::resource_exhausted("as many streams as are allowed are open"));
        }
        let stream = self.numbers.fetch_add(1, SeqCst);
        let (to, verdicts) = mpsc::channel(self.queue);
        let gone = || Status::unavailable("the marshal has ended, or has no room");
        self.words.try_send(Told::Began(stream, to.clone())).map_err(|_| gone())?;
        let words = self.words.clone();
        let mut asks = request.into_inner();
        tokio::spawn(async move {
            let _counted = counted;
            loop {
                let message = tokio::select! {
                    message = asks.message() => message,
                    () = to.closed() => break,
                };
                let Ok(Some(message)) = message else { break };
                if !hand(&words, Told::Came(stream, message)).await {
                    return;
                }
            }
            hand(&words, Told::Closed(stream)).await;
        });
        Ok(Response::new(ReceiverStream::new(verdicts)))
    }
}

/// Hands a word over; waits where the queue is full, and no other stream with it. False where the marshal has ended.
async fn hand(words: &Sender<Told>, mut word: Told) -> bool {
    loop {
        word = match words.try_send(word) {
            Ok(()) => return true,
            Err(TrySendError::Full(back)) => back,
            Err(TrySendError::Disconnected(_)) => return false,
        };
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Listens; an error where that can't be.
pub fn start(settings: &Settings, words: Sender<Told>) -> io::Result<()> {
    let listener = std::net::TcpListener::bind(settings.listen)?;
    listener.set_nonblocking(true)?;
    let (streams, numbers) = (Arc::default(), AtomicU64::new(0));
    let service = Service { words, streams, numbers, most: settings.streams, queue: settings.queue };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("processor-grpc".into()).spawn(move || {
        let served = runtime.block_on(async move {
            let listener = TcpListenerStream::new(tokio::net::TcpListener::from_std(listener)?);
            let server = VerdictsServer::new(service).max_decoding_message_size(LONGEST);
            let served =
                tonic::transport::Server::builder().add_service(server).serve_with_incoming(listener);
            served.await.map_err(io::Error::other)
        });
        if let Err(problem) = served {
            log::error!("processor: the service has ended: {problem}");
        }
    })?;
    Ok(())
}
