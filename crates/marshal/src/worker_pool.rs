//! A pool of threads for one kind of job: one thread always stays, further ones are started as jobs arrive and exit when
//! idle. Guards against hundreds of marshals on one machine that together hold all of its threads while they are idle,
//! and against losing jobs when the machine has no thread left: such a job waits for one of the existing threads.

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// The size of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolOptions {
    /// The most threads that may exist at once.
    pub max_threads: usize,
    /// The most jobs that may wait for a thread.
    pub queue_capacity: usize,
    /// The stack of each thread, in bytes.
    pub stack_bytes: usize,
    /// A thread that gets no job for this long exits, unless it is the last.
    pub idle_timeout: Duration,
}

struct Shared<T> {
    name: &'static str,
    options: PoolOptions,
    queue: Receiver<T>,
    run_job: Box<dyn Fn(T) + Send + Sync>,
    threads: AtomicUsize,
    /// Jobs that are running or queued.
    load: AtomicUsize,
}

/// A pool of threads. They exit once the last handle to the pool is dropped.
pub struct WorkerPool<T> {
    shared: Arc<Shared<T>>,
    jobs: Sender<T>,
}

impl<T: Send + 'static> WorkerPool<T> {
    /// Starts a pool with one thread.
    pub fn new(
        name: &'static str,
        options: PoolOptions,
        run_job: impl Fn(T) + Send + Sync + 'static,
    ) -> io::Result<WorkerPool<T>> {
        let (jobs, queue) = bounded(options.queue_capacity);
        let (threads, load, run_job) = (AtomicUsize::new(0), AtomicUsize::new(0), Box::new(run_job));
        let pool =
            WorkerPool { shared: Arc::new(Shared { name, options, queue, run_job, threads, load }), jobs };
        pool.add_thread()?;
        Ok(pool)
    }

    /// Submits a job without blocking; returns the job if the queue is full. If no further thread can be started, the
    /// job is run by the next existing thread that is free.
    pub fn submit(&self, job: T) -> Result<(), T> {
        self.shared.load.fetch_add(1, SeqCst);
        if let Err(rejected) = self.jobs.try_send(job) {
            self.shared.load.fetch_sub(1, SeqCst);
            return Err(rejected.into_inner());
        }
        // Checked only after the job is queued: a thread that exits at the same moment checks the queue once more after
        // it has been subtracted from the thread count.
        if self.shared.load.load(SeqCst) > self.threads() {
            if let Err(problem) = self.add_thread() {
                log::warn!("cannot start another {} thread: {problem}", self.shared.name);
            }
        }
        Ok(())
    }

    /// The number of threads.
    pub fn threads(&self) -> usize {
        self.shared.threads.load(SeqCst)
    }

    fn add_thread(&self) -> io::Result<()> {
        let shared = self.shared.clone();
        let one_more = |threads: usize| (threads < shared.options.max_threads).then_some(threads + 1);
        if shared.threads.fetch_update(SeqCst, SeqCst, one_more).is_err() {
            return Ok(());
        }
        let thread =
            std::thread::Builder::new().name(shared.name.into()).stack_size(shared.options.stack_bytes);
        let worker = shared.clone();
        thread.spawn(move || worker.run()).map(drop).inspect_err(|_| {
            shared.threads.fetch_sub(1, SeqCst);
        })
    }
}

impl<T> Shared<T> {
    fn run(&self) {
        loop {
            let job = match self.queue.recv_timeout(self.options.idle_timeout) {
                Ok(job) => job,
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => match self.try_exit() {
                    Some(Some(job)) => job,
                    Some(None) => return,
                    None => continue,
                },
            };
            // A panic must not end the thread while it is still counted as a worker.
            if catch_unwind(AssertUnwindSafe(|| (self.run_job)(job))).is_err() {
                log::error!("a {} thread panicked", self.name);
            }
            self.load.fetch_sub(1, SeqCst);
        }
    }

    /// Subtracts this thread from the thread count, unless it is the last. A job that was queued at that moment is still
    /// run by this thread. `None` if the thread stays as the last one; otherwise that job, if there is one.
    fn try_exit(&self) -> Option<Option<T>> {
        let one_fewer = |threads: usize| (threads > 1).then(|| threads - 1);
        self.threads.fetch_update(SeqCst, SeqCst, one_fewer).ok()?;
        let job = self.queue.try_recv().ok();
        if job.is_some() {
            self.threads.fetch_add(1, SeqCst);
        }
        Some(job)
    }
}
