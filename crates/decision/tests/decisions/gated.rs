//! The gate: what no table permits carries no traffic, by any path.

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

fn gated() -> Bench {
    let mut b = Bench::new(Settings { require_permits: true, sticky_keys: true, ..settings() }, entries(), 1);
    b.give(news(2, 2, Phase::Trial, 1.0));
    b
}

/// Build 1 for both tenants; build 2 on its way for some, or released for some.
fn table(number: u64, moving: &[TenantId], released: &[TenantId]) -> Event {
    let of = |build: u32, tenants: &[TenantId]| -> Vec<_> {
        tenants.iter().map(|tenant| (Build(build), ZoneId(0), *tenant)).collect()
    };
    let old = of(1, &[A, B]);
    Event::PermitTable(Arc::new(PermitTable {
        version: number,
        ttl: Ms(1000.0),
        released: old.into_iter().chain(of(2, released)).collect(),
        in_rollout: of(2, moving).into_iter().collect(),
    }))
}

/// One request of a tenant; where it goes.
fn ask(b: &mut Bench, tenant: Option<TenantId>, key: Option<&str>) -> (RequestId, Vec<Action>) {
    b.pass(2.0);
    let id = id(&format!("g{}-{:?}", b.now, tenant));
    let key = key.map(|key| Key(Arc::from(key)));
    let (class, expires_in, work_hint) = (ClassId(0), Ms(1000.0), None);
    let event = Event::Request { id: id.clone(), class, key, tenant, expires_in, work_hint, is_retry: false };
    let out = b.give(event);
    (id, out)
}

/// Of so many requests, those that went to build 2, and those that were refused.
fn many(b: &mut Bench, tenant: Option<TenantId>, count: usize) -> (usize, usize) {
    let (mut new, mut refused) = (0, 0);
    for _ in 0..count {
        let (id, out) = ask(b, tenant, None);
        match sent(&out) {
            Some(to) => {
                new += usize::from(to.0.starts_with('t'));
                b.end(&id, 0, &to, Outcome::Ok, 20.0);
            }
            None => {
                refused += 1;
                let told =
                    |a: &Action| matches!(a, Action::Refuse(of, Some(wait)) if *of == id && wait.0 > 0.0);
                assert!(out.iter().any(told), "at once, with a time to come back: {out:?}");
            }
        }
    }
    (new, refused)
}

#[test]
fn what_the_table_does_not_know_is_forbidden_and_without_one_everything_is() {
    let mut b = gated();
    assert_eq!(many(&mut b, Some(A), 50), (0, 50));
    b.give(table(1, &[A], &[]));
    let (new, refused) = many(&mut b, Some(A), 100);
    assert!(new > 20 && refused == 0, "{new} {refused}");
    assert_eq!(many(&mut b, Some(B), 100), (0, 0));
    assert_eq!(many(&mut b, None, 20), (0, 20), "of nobody the table knows nothing");
    assert_eq!(many(&mut b, Some(TenantId(7)), 20), (0, 20));
    // Not asked for: as ever.
    let mut b = Bench::new(settings(), entries(), 1);
    assert_eq!(many(&mut b, None, 20).1, 0);
}

#[test]
fn a_table_late_twice_or_out_of_order_never_widens_what_a_newer_one_forbids() {
    let mut b = gated();
    b.give(table(5, &[], &[]));
    b.give(table(4, &[A], &[A, B]));
    assert_eq!(many(&mut b, Some(A), 100), (0, 0));
    b.give(table(6, &[A], &[]));
    assert!(many(&mut b, Some(A), 100).0 > 20);
    b.give(table(5, &[], &[]));
    assert!(many(&mut b, Some(A), 100).0 > 20);
    // Past its life it permits only what was released before; the same one told again lives on.
    b.pass(1001.0);
    assert_eq!(many(&mut b, Some(A), 100), (0, 0));
    b.give(table(6, &[A], &[]));
    assert!(many(&mut b, Some(A), 100).0 > 20);
    b.give(table(7, &[], &[A]));
    b.pass(60_000.0);
    assert!(many(&mut b, Some(A), 100).0 > 20, "released outlives the table");
}

#[test]
fn a_second_try_a_spill_and_a_key_that_stays_pass_the_gate_too() {
    let mut b = gated();
    b.give(table(1, &[A], &[]));
    // A key that met build 2 returns to it; once that is forbidden it has nowhere to go, and is told at once.
    let met = |b: &mut Bench| loop {
        let (id, out) = ask(b, Some(A), Some("k"));
        let to = sent(&out).unwrap();
        if to.0.starts_with('t') {
            return (id, to);
        }
        b.end(&id, 0, &to, Outcome::Ok, 20.0);
    };
    let (id, to) = met(&mut b);
    b.end(&id, 0, &to, Outcome::Ok, 20.0);
    let (_, out) = ask(&mut b, Some(A), Some("k"));
    assert!(sent(&out).unwrap().0.starts_with('t'));
    // The first try is out as the table closes: its second goes to an earlier build, or nowhere.
    for _ in 0..30 {
        b.give(table(b.now as u64 * 2, &[A], &[]));
        let Some((id, to)) = (0..50).find_map(|_| {
            let (id, out) = ask(&mut b, Some(A), None);
            let to = sent(&out)?;
            if !to.0.starts_with('t') {
                b.end(&id, 0, &to, Outcome::Ok, 20.0);
                return None;
            }
            Some((id, to))
        }) else {
            continue;
        };
        b.give(table(b.now as u64 * 2 + 1, &[], &[]));
        let out = b.end(&id, 0, &to, Outcome::Rejected, 5.0);
        assert!(sent(&out).is_none_or(|to| to.0.starts_with('n')), "{out:?}");
        b.pass(2.0);
    }
    b.give(table(b.now as u64 * 2 + 2, &[], &[]));
    let (_, out) = ask(&mut b, Some(A), Some("k"));
    assert!(sent(&out).is_none() && out.iter().any(|a| matches!(a, Action::Refuse(_, Some(_)))), "{out:?}");
    // Spill: however full the earlier machines are, nothing goes to what is forbidden.
    for _ in 0..200 {
        let (_, out) = ask(&mut b, Some(B), None);
        assert!(sent(&out).is_none_or(|to| to.0.starts_with('n')));
    }
    // The module votes on while the gate closes: the gate stays closed.
    b.give(news(2, 3, Phase::Released, 1.0));
    let (new, _) = many(&mut b, Some(B), 100);
    assert_eq!(new, 0);
}
