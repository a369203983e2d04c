//! Threads that share work: they come as it does, go when there is none, and lose nothing in between.

use crossbeam_channel::{bounded, unbounded};
use milletwing_marshal::worker_pool::{PoolOptions, WorkerPool};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

fn size(max_threads: usize, queue_capacity: usize, idle_us: u64) -> PoolOptions {
    PoolOptions {
        max_threads,
        queue_capacity,
        stack_bytes: 96 << 10,
        idle_timeout: Duration::from_micros(idle_us),
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..4000 {
        if holds() {
            return;
        }
        sleep(Duration::from_millis(5));
    }
    panic!("never: {what}");
}

#[test]
fn threads_come_as_work_does_and_go_again_but_for_one() {
    let (release, held) = bounded::<()>(0);
    let done = Arc::new(AtomicUsize::new(0));
    let counter = done.clone();
    let workers = WorkerPool::new("test", size(4, 10, 20_000), move |(): ()| {
        let _ = held.recv(); // the test lets it go on
        counter.fetch_add(1, SeqCst);
    });
    let workers = workers.unwrap();
    assert_eq!(workers.threads(), 1);
    for want in [1, 2, 3, 4, 4, 4] {
        workers.submit(()).unwrap();
        assert_eq!(workers.threads(), want);
    }
    (0..6).for_each(|_| release.send(()).unwrap());
    until("all is done", || done.load(SeqCst) == 6);
    until("one is left", || workers.threads() == 1);
    workers.submit(()).unwrap();
    release.send(()).unwrap();
    until("the last one works", || done.load(SeqCst) == 7);
}

#[test]
fn where_as_many_wait_as_may_work_comes_back() {
    let (release, held) = bounded::<()>(0);
    let workers = WorkerPool::new("test", size(1, 2, 1000), move |_: u32| held.recv().unwrap_or(())).unwrap();
    workers.submit(0).unwrap();
    until("it is taken", || workers.submit(1).is_ok());
    let back = (2..10).filter_map(|number| workers.submit(number).err()).collect::<Vec<_>>();
    assert!(back.len() >= 6 && back.last() == Some(&9), "{back:?}");
    drop(release);
}

/// Guards against work handed over just as the thread that should have taken it goes.
#[test]
fn no_work_is_lost_among_threads_that_come_and_go() {
    let (told, heard) = unbounded();
    let workers =
        WorkerPool::new("test", size(8, 64, 30), move |number: u32| told.send(number).unwrap()).unwrap();
    for round in 0..4000 {
        for number in 0..3 {
            workers.submit(round * 3 + number).unwrap();
        }
        for _ in 0..3 {
            heard.recv_timeout(Duration::from_secs(20)).expect("work that nobody does");
        }
        sleep(Duration::from_micros(u64::from(round % 90)));
    }
    until("one is left", || workers.threads() == 1);
}

#[test]
fn work_that_panics_costs_no_thread() {
    let (told, heard) = unbounded();
    let workers = WorkerPool::new("test", size(1, 64, 1000), move |number: u32| {
        assert!(number != 0, "as the test wants");
        told.send(number).unwrap();
    });
    let workers = workers.unwrap();
    (0..3).for_each(|number| workers.submit(number).unwrap());
    assert_eq!((heard.recv(), heard.recv()), (Ok(1), Ok(2)));
    assert_eq!(workers.threads(), 1);
}
