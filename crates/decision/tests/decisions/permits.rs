//! Permit tables: a build without a permit gets no traffic on any path.

use crate::common::*;
use milletwing_decision::interface::*;
use std::sync::Arc;

const A: TenantId = TenantId(0);
const B: TenantId = TenantId(1);

fn entries() -> Vec<NodeEntry> {
    let mut entries: Vec<NodeEntry> = (0..4).map(|i| node(&format!("n{i}"), 1)).collect();
    entries.extend((0..4).map(|i| node(&format!("t{i}"), 2)));
    entries
}

fn with_permits() -> Harness {
    let mut harness =
        Harness::new(Settings { require_permits: true, sticky_keys: true, ..settings() }, entries(), 1);
    harness.handle(stage_report(2, 2, Phase::Trial, 1.0));
    harness
}

/// Build 1 is released for both tenants; build 2 is in rollout for some tenants and released for others.
fn permit_table(number: u64, moving: &[TenantId], released: &[TenantId]) -> Event {
    let entries_of = |build: u32, tenants: &[TenantId]| -> Vec<_> {
        tenants.iter().map(|tenant| (Build(build), ZoneId(0), *tenant)).collect()
    };
    let earlier = entries_of(1, &[A, B]);
    Event::PermitTable(Arc::new(PermitTable {
        version: number,
        ttl: Ms(1000.0),
        released: earlier.into_iter().chain(entries_of(2, released)).collect(),
        in_rollout: entries_of(2, moving).into_iter().collect(),
    }))
}

/// Sends one request of a tenant.
fn send_request(
    harness: &mut Harness,
    tenant: Option<TenantId>,
    key: Option<&str>,
) -> (RequestId, Vec<Action>) {
    harness.advance(2.0);
    let id = request_id(&format!("g{}-{:?}", harness.now, tenant));
    let key = key.map(|key| Key(Arc::from(key)));
    let (class, expires_in, work_hint) = (ClassId(0), Ms(1000.0), None);
    let event = Event::Request { id: id.clone(), class, key, tenant, expires_in, work_hint, is_retry: false };
    let out = harness.handle(event);
    (id, out)
}

/// Sends `count` requests; returns how many went to build 2 and how many were refused.
fn count_routes(harness: &mut Harness, tenant: Option<TenantId>, count: usize) -> (usize, usize) {
    let (mut new, mut refused) = (0, 0);
    for _ in 0..count {
        let (id, out) = send_request(harness, tenant, None);
        match attempted_node(&out) {
            Some(to) => {
                new += usize::from(to.0.starts_with('t'));
                harness.complete(&id, 0, &to, Outcome::Ok, 20.0);
            }
            None => {
                refused += 1;
                let refused_with_delay =
                    |a: &Action| matches!(a, Action::Refuse(of, Some(wait)) if *of == id && wait.0 > 0.0);
                assert!(out.iter().any(refused_with_delay), "refused at once, with a retry delay: {out:?}");
            }
        }
    }
    (new, refused)
}

#[test]
fn what_the_table_does_not_contain_is_forbidden_and_without_a_table_everything() {
    let mut harness = with_permits();
    assert_eq!(count_routes(&mut harness, Some(A), 50), (0, 50));
    harness.handle(permit_table(1, &[A], &[]));
    let (new, refused) = count_routes(&mut harness, Some(A), 100);
    assert!(new > 20 && refused == 0, "{new} {refused}");
    assert_eq!(count_routes(&mut harness, Some(B), 100), (0, 0));
    assert_eq!(count_routes(&mut harness, None, 20), (0, 20), "the table has no entry without a tenant");
    assert_eq!(count_routes(&mut harness, Some(TenantId(7)), 20), (0, 20));
    // Where the settings require no permits, no table is needed.
    let mut harness = Harness::new(settings(), entries(), 1);
    assert_eq!(count_routes(&mut harness, None, 20).1, 0);
}

#[test]
fn a_repeated_or_older_table_never_permits_what_a_newer_one_forbids() {
    let mut harness = with_permits();
    harness.handle(permit_table(5, &[], &[]));
    harness.handle(permit_table(4, &[A], &[A, B]));
    assert_eq!(count_routes(&mut harness, Some(A), 100), (0, 0));
    harness.handle(permit_table(6, &[A], &[]));
    assert!(count_routes(&mut harness, Some(A), 100).0 > 20);
    harness.handle(permit_table(5, &[], &[]));
    assert!(count_routes(&mut harness, Some(A), 100).0 > 20);
    // After its time to live a table permits only what was released; receiving it again renews it.
    harness.advance(1001.0);
    assert_eq!(count_routes(&mut harness, Some(A), 100), (0, 0));
    harness.handle(permit_table(6, &[A], &[]));
    assert!(count_routes(&mut harness, Some(A), 100).0 > 20);
    harness.handle(permit_table(7, &[], &[A]));
    harness.advance(60_000.0);
    assert!(count_routes(&mut harness, Some(A), 100).0 > 20, "a released entry outlives the table");
}

#[test]
fn retries_spilled_requests_and_sticky_keys_need_a_permit_too() {
    let mut harness = with_permits();
    harness.handle(permit_table(1, &[A], &[]));
    // A key that build 2 answered returns to it; once build 2 is forbidden, the request is refused at once.
    let answer_by_new_build = |harness: &mut Harness| loop {
        let (id, out) = send_request(harness, Some(A), Some("k"));
        let to = attempted_node(&out).unwrap();
        if to.0.starts_with('t') {
            return (id, to);
        }
        harness.complete(&id, 0, &to, Outcome::Ok, 20.0);
    };
    let (id, to) = answer_by_new_build(&mut harness);
    harness.complete(&id, 0, &to, Outcome::Ok, 20.0);
    let (_, out) = send_request(&mut harness, Some(A), Some("k"));
    assert!(attempted_node(&out).unwrap().0.starts_with('t'));
    // A new table forbids build 2 while an attempt is in flight: the retry goes to an earlier build or
    // nowhere.
    for _ in 0..30 {
        harness.handle(permit_table(harness.now as u64 * 2, &[A], &[]));
        let Some((id, to)) = (0..50).find_map(|_| {
            let (id, out) = send_request(&mut harness, Some(A), None);
            let to = attempted_node(&out)?;
            if !to.0.starts_with('t') {
                harness.complete(&id, 0, &to, Outcome::Ok, 20.0);
                return None;
            }
            Some((id, to))
        }) else {
            continue;
        };
        harness.handle(permit_table(harness.now as u64 * 2 + 1, &[], &[]));
        let out = harness.complete(&id, 0, &to, Outcome::Rejected, 5.0);
        assert!(attempted_node(&out).is_none_or(|to| to.0.starts_with('n')), "{out:?}");
        harness.advance(2.0);
    }
    harness.handle(permit_table(harness.now as u64 * 2 + 2, &[], &[]));
    let (_, out) = send_request(&mut harness, Some(A), Some("k"));
    assert!(
        attempted_node(&out).is_none() && out.iter().any(|a| matches!(a, Action::Refuse(_, Some(_)))),
        "{out:?}"
    );
    // However many requests the nodes of the earlier build hold, none spills over to a forbidden build.
    for _ in 0..200 {
        let (_, out) = send_request(&mut harness, Some(B), None);
        assert!(attempted_node(&out).is_none_or(|to| to.0.starts_with('n')));
    }
    // A build that the platform released still needs a permit.
    harness.handle(stage_report(2, 3, Phase::Released, 1.0));
    let (new, _) = count_routes(&mut harness, Some(B), 100);
    assert_eq!(new, 0);
}
