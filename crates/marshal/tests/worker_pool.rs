//! The worker pool: threads are started as jobs arrive, exit when idle, and no job is lost in between.

use crossbeam_channel::{bounded, unbounded};
use milletwing_marshal::worker_pool::{PoolOptions, WorkerPool};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

fn options(max_threads: usize, queue_capacity: usize, idle_us: u64) -> PoolOptions {
    PoolOptions {
        max_threads,
        queue_capacity,
        stack_bytes: 96 << 10,
        idle_timeout: Duration::from_micros(idle_us),
    }
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..4000 {
        if holds() {
            return;
        }
        sleep(Duration::from_millis(5));
    }
    panic!("timed out waiting until {what}");
}

#[test]
fn threads_start_with_jobs_and_exit_when_idle_except_the_last() {
    let (release, released) = bounded::<()>(0);
    let done = Arc::new(AtomicUsize::new(0));
    let counter = done.clone();
    let pool = WorkerPool::new("test", options(4, 10, 20_000), move |(): ()| {
        let _ = released.recv(); // waits for the test
        counter.fetch_add(1, SeqCst);
    });
    let pool = pool.unwrap();
    assert_eq!(pool.threads(), 1);
    for want in [1, 2, 3, 4, 4, 4] {
        pool.submit(()).unwrap();
        assert_eq!(pool.threads(), want);
    }
    (0..6).for_each(|_| release.send(()).unwrap());
    wait_until("all jobs are done", || done.load(SeqCst) == 6);
    wait_until("one thread is left", || pool.threads() == 1);
    pool.submit(()).unwrap();
    release.send(()).unwrap();
    wait_until("the last thread runs the job", || done.load(SeqCst) == 7);
}

#[test]
fn a_full_queue_rejects_the_job() {
    let (release, released) = bounded::<()>(0);
    let pool =
        WorkerPool::new("test", options(1, 2, 1000), move |_: u32| released.recv().unwrap_or(())).unwrap();
    pool.submit(0).unwrap();
    wait_until("the first job is taken", || pool.submit(1).is_ok());
    let rejected = (2..10).filter_map(|number| pool.submit(number).err()).collect::<Vec<_>>();
    assert!(rejected.len() >= 6 && rejected.last() == Some(&9), "{rejected:?}");
    drop(release);
}

/// Guards against a job that is submitted at the moment at which the thread that should run it exits.
#[test]
fn no_job_is_lost_while_threads_start_and_exit() {
    let (results_sender, results) = unbounded();
    let pool =
        WorkerPool::new("test", options(8, 64, 30), move |number: u32| results_sender.send(number).unwrap())
            .unwrap();
    for round in 0..4000 {
        for number in 0..3 {
            pool.submit(round * 3 + number).unwrap();
        }
        for _ in 0..3 {
            results.recv_timeout(Duration::from_secs(20)).expect("a job was lost");
        }
        sleep(Duration::from_micros(u64::from(round % 90)));
    }
    wait_until("one thread is left", || pool.threads() == 1);
}

#[test]
fn a_job_that_panics_does_not_end_its_thread() {
    let (results_sender, results) = unbounded();
    let pool = WorkerPool::new("test", options(1, 64, 1000), move |number: u32| {
        assert!(number != 0, "deliberate panic");
        results_sender.send(number).unwrap();
    });
    let pool = pool.unwrap();
    (0..3).for_each(|number| pool.submit(number).unwrap());
    assert_eq!((results.recv(), results.recv()), (Ok(1), Ok(2)));
    assert_eq!(pool.threads(), 1);
}
