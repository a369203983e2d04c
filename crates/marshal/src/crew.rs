//! Threads that share one kind of work: one stands ready, more come as work does, and go again once there is none.
//! Guards against hundreds of marshals on one machine that hold all of its threads while they do nothing, and against
//! work that is lost where the machine has no thread left: it waits for one of those that there are.

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// How many threads, for how long.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// At most so many threads.
    pub most: usize,
    /// At most so many pieces of work that wait.
    pub waiting: usize,
    /// Stack of each, in bytes.
    pub stack: usize,
    /// One that finds no work for this long goes, but for the last.
    pub rest: Duration,
}

struct Shared<T> {
    name: &'static str,
    size: Size,
    inbox: Receiver<T>,
    work: Box<dyn Fn(T) + Send + Sync>,
    threads: AtomicUsize,
    /// Pieces of work that a thread has, or that wait for one.
    load: AtomicUsize,
}

/// Threads that share one kind of work. They end once the last handle to their crew is dropped.
pub struct Crew<T> {
    shared: Arc<Shared<T>>,
    jobs: Sender<T>,
}

impl<T: Send + 'static> Crew<T> {
    /// One thread, for work that fits its stack.
    pub fn new(
        name: &'static str,
        size: Size,
        work: impl Fn(T) + Send + Sync + 'static,
    ) -> io::Result<Crew<T>> {
        let (jobs, inbox) = bounded(size.waiting);
        let (threads, load, work) = (AtomicUsize::new(0), AtomicUsize::new(0), Box::new(work));
        let crew = Crew { shared: Arc::new(Shared { name, size, inbox, work, threads, load }), jobs };
        crew.hire()?;
        Ok(crew)
    }

    /// Hands over a piece of work; never waits. Gives it back where as many wait as may. Where the machine has no
    /// thread for it, it is done by the next one that is free.
    pub fn hand(&self, job: T) -> Result<(), T> {
        self.shared.load.fetch_add(1, SeqCst);
        if let Err(back) = self.jobs.try_send(job) {
            self.shared.load.fetch_sub(1, SeqCst);
            return Err(back.into_inner());
        }
        // Looked at once the work lies there: who goes in the same moment looks once more after it was struck off.
        if self.shared.load.load(SeqCst) > self.threads() {
            if let Err(problem) = self.hire() {
                log::warn!("no further thread for {}: {problem}", self.shared.name);
            }
        }
        Ok(())
    }

    /// Threads that there are.
    pub fn threads(&self) -> usize {
        self.shared.threads.load(SeqCst)
    }

    fn hire(&self) -> io::Result<()> {
        let shared = self.shared.clone();
        let more = |threads: usize| (threads < shared.size.most).then_some(threads + 1);
        if shared.threads.fetch_update(SeqCst, SeqCst, more).is_err() {
            return Ok(());
        }
        let thread = std::thread::Builder::new().name(shared.name.into()).stack_size(shared.size.stack);
        let worker = shared.clone();
        thread.spawn(move || worker.run()).map(drop).inspect_err(|_| {
            shared.threads.fetch_sub(1, SeqCst);
        })
    }
}

impl<T> Shared<T> {
    fn run(&self) {
        loop {
            let job = match self.inbox.recv_timeout(self.size.rest) {
                Ok(job) => job,
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => match self.go() {
                    Some(Some(job)) => job,
                    Some(None) => return,
                    None => continue,
                },
            };
            // Guards against a thread that ends unseen, still counted as one that works.
            if catch_unwind(AssertUnwindSafe(|| (self.work)(job))).is_err() {
                log::error!("a thread of {} panicked", self.name);
            }
            self.load.fetch_sub(1, SeqCst);
        }
    }

    /// Strikes this thread off, unless it is the last; but work that came in that moment is still its own. `None` where
    /// it stays, the work or nothing where it went.
    fn go(&self) -> Option<Option<T>> {
        let fewer = |threads: usize| (threads > 1).then(|| threads - 1);
        self.threads.fetch_update(SeqCst, SeqCst, fewer).ok()?;
        let job = self.inbox.try_recv().ok();
        if job.is_some() {
            self.threads.fetch_add(1, SeqCst);
        }
        Some(job)
    }
}
