//! Terms on which tokens are granted, and buckets and stocks with extreme quotas.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::accounts::Quota;
use fireflyhead_policy::accounts::QuotaUnit;
use fireflyhead_policy::quota::GrantedTokens;
use fireflyhead_policy::quota::QuotaDemand;
use fireflyhead_policy::quota::QuotaGrant;
use fireflyhead_policy::quota::QuotaRequest;
use fireflyhead_policy::quota::QuotaSettings;
use fireflyhead_policy::quota::Slot;
use fireflyhead_policy::quota::borrower::EXTRA_UNKNOWN_WAIT;
use fireflyhead_policy::quota::borrower::MAX_WAIT;
use fireflyhead_policy::quota::borrower::OwnerState;
use fireflyhead_policy::quota::borrower::QuotaBorrower;
use fireflyhead_policy::quota::borrower::QuotaDenial;
use fireflyhead_policy::quota::borrower::TryTake;
use fireflyhead_policy::quota::owner::QuotaOwner;
use fireflyhead_policy::quota::parts;
use proptest::prelude::*;

use crate::setup::ms;

fn quota(unit: QuotaUnit, rate: f64, burst: f64) -> Quota {
    Quota::new(unit, rate, burst).expect("a valid quota").expect("a limit")
}

fn tokens(rate: f64, burst: f64) -> Quota {
    quota(QuotaUnit::Tokens { plain_request: 200 }, rate, burst)
}

fn borrower() -> QuotaBorrower {
    let mut borrower = QuotaBorrower::new(QuotaSettings::default(), Name::from("node-1"), 1, 1);
    Slot::all().for_each(|slot| borrower.set_owner(slot, OwnerState::Remote));
    borrower
}

proptest! {
    /// Guards against terms with which the grants of two buckets exceed the bound.
    #[test]
    fn terms_keep_the_bound(
        rate in 1e-6_f64..1e9,
        burst in 0.0_f64..1e9,
        window_ms in 1_u64..60_000,
        overage in 0.0_f64..0.5,
        slack in 0.0_f64..50_000.0,
        in_tokens in any::<bool>(),
    ) {
        let window = Duration::from_millis(window_ms);
        let settings = QuotaSettings { window, overage, slack };
        let unit = match in_tokens {
            true => QuotaUnit::Tokens { plain_request: 200 },
            false => QuotaUnit::Requests,
        };
        let quota = quota(unit, rate, burst);
        let terms = settings.terms(&quota);
        let most = terms.rate * (window + terms.lifetime).as_secs_f64() + terms.burst;
        prop_assert!(most <= settings.bound(&quota) * (1.0 + 1e-9), "{terms:?}");
        prop_assert!(terms.rate <= quota.rate * (1.0 + 1e-9));
        prop_assert!(terms.lifetime >= Duration::from_millis(50));
    }
}

/// Guards against parts that are too small for a request, and against an order that differs between
/// nodes.
#[test]
fn an_account_has_as_many_parts_as_its_burst_fills() {
    let name = Name::from("hule930");
    for (burst, count) in [(0.0, 1), (31_999.0, 1), (32_000.0, 2), (64_000.0, 4), (1e12, 4)] {
        assert_eq!(parts(&name, &tokens(1.0, burst)).len(), count, "{burst}");
    }
    let all = parts(&name, &tokens(1.0, 1e6));
    assert_eq!(parts(&name, &tokens(1.0, 32_000.0)), all[..2]);
}

/// Guards against overflow, and against retry times that are not finite, with extreme quotas.
#[test]
fn extreme_quotas_are_refused_without_a_panic() {
    for quota in [tokens(1e-300, 10.0), tokens(1e15, 1e15), tokens(1e-9, 1e15)] {
        let name = Name::from("a");
        let mut owner = QuotaOwner::new(QuotaSettings::default());
        Slot::all().for_each(|slot| owner.add_slot(ms(0), slot));
        owner.set_accounts(ms(0), Arc::new([(name.clone(), Some(quota))].into()));
        let mut borrower = borrower();
        for at in 0..60 {
            let now = ms(1_000 + at * 10);
            let cost = quota.burst.min(1e10) as u64;
            let _result = borrower.try_take(now, &name, &quota, cost);
            for request in borrower.due_requests(now) {
                let grant = owner.grant(now, &request).expect("a first request");
                borrower.handle_grant(now, &grant);
            }
            borrower.take_resolved(now);
        }
        let too_large = borrower.try_take(ms(2_000), &name, &quota, u64::MAX);
        assert_eq!(too_large, TryTake::Denied(QuotaDenial::TooLarge));
    }
}

/// Guards against a lowered limit that takes effect only when the old level is used up, and against
/// levels that a new configuration raises.
#[test]
fn a_bucket_keeps_its_level_up_to_a_lower_depth() {
    let name = Name::from("a");
    let slot = parts(&name, &tokens(1.0, 1.0))[0];
    let accounts = |quota: Quota| Arc::new([(name.clone(), Some(quota))].into());
    let mut owner = QuotaOwner::new(QuotaSettings::default());
    owner.set_accounts(ms(0), accounts(tokens(1_000.0, 10_000.0)));
    owner.add_slot(ms(0), slot);
    let level = |owner: &QuotaOwner, now: Time| owner.level(now, slot, "a").expect("a bucket").0;
    assert!(level(&owner, ms(0)).abs() < 1e-6);
    assert!((level(&owner, ms(5_000)) - 5_000.0).abs() < 1e-6);
    owner.set_accounts(ms(5_000), accounts(tokens(100.0, 2_000.0)));
    assert!((level(&owner, ms(5_000)) - 2_000.0).abs() < 1e-6);
    owner.set_accounts(ms(5_000), accounts(tokens(100.0, 10_000.0)));
    assert!((level(&owner, ms(6_000)) - 2_100.0).abs() < 1e-6);
}

/// Guards against a burst that is used twice: an account that is new to the configuration has one
/// at once only where nobody can have granted it shortly before.
#[test]
fn only_accounts_that_are_new_for_a_window_start_full() {
    let old = Name::from("old");
    let new = Name::from("new");
    let quota = tokens(10.0, 10_000.0);
    let slot = parts(&new, &quota)[0];
    let only_old = || Arc::new([(old.clone(), Some(quota))].into());
    let both = || Arc::new([(old.clone(), Some(quota)), (new.clone(), Some(quota))].into());
    let level_after = |added_at: u64| {
        let mut owner = QuotaOwner::new(QuotaSettings::default());
        owner.set_accounts(ms(0), only_old());
        owner.add_slot(ms(0), slot);
        owner.set_accounts(ms(added_at), both());
        (owner.level(ms(added_at), slot, "new").expect("a bucket").0, owner)
    };
    assert!(level_after(8_000).0 < 1.0, "an earlier owner may have granted it");
    let (level, mut owner) = level_after(9_000);
    assert!((level - 10_000.0).abs() < 1e-6);
    // It leaves and returns.
    owner.set_accounts(ms(9_500), only_old());
    owner.set_accounts(ms(10_000), both());
    assert!(owner.level(ms(10_000), slot, "new").expect("a bucket").0 < 1.0);
}

/// Guards against grants that are counted twice, that arrive too late, or that no request of this
/// process asked for.
#[test]
fn only_the_first_timely_grant_to_a_request_counts() {
    let name = Name::from("a");
    let quota = tokens(10_000.0, 16_000.0);
    let mut borrower = borrower();
    assert!(matches!(borrower.try_take(ms(0), &name, &quota, 1_000), TryTake::Wait(_)));
    let requests = borrower.due_requests(ms(0));
    let [QuotaRequest { seq, slot, ref demands, .. }] = requests[..] else {
        panic!("one request: {requests:?}")
    };
    assert_eq!(demands[0].waiting, [1_000]);
    let granted = GrantedTokens { tokens: 1_000, retry_after: Duration::ZERO };
    let grant = QuotaGrant { seq, slot, grants: vec![granted] };
    borrower.handle_grant(ms(5), &QuotaGrant { seq: seq + 1, ..grant.clone() });
    assert_eq!(borrower.take_resolved(ms(5)).len(), 0);
    borrower.handle_grant(ms(5), &grant);
    assert_eq!(borrower.take_resolved(ms(5)).len(), 1);
    borrower.handle_grant(ms(6), &grant);
    assert_eq!(borrower.stock(ms(6), "a"), 0);
    assert!(matches!(borrower.try_take(ms(10), &name, &quota, 1_000), TryTake::Wait(_)));
    let late = borrower.due_requests(ms(30)).remove(0);
    let grant = QuotaGrant { seq: late.seq, slot: late.slot, grants: vec![granted] };
    borrower.handle_grant(ms(531), &grant);
    assert_eq!(borrower.stock(ms(531), "a"), 0);
}

/// Guards against waits longer than permitted, and against 429 although no owner replied.
#[test]
fn a_request_waits_at_most_its_time_and_in_its_turn() {
    let name = Name::from("a");
    let quota = tokens(10_000.0, 16_000.0);
    let mut borrower = borrower();
    let wait = |borrower: &mut QuotaBorrower, now: Time, cost: u64| match borrower
        .try_take(now, &name, &quota, cost)
    {
        TryTake::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    };
    let first = wait(&mut borrower, ms(0), 5_000);
    let second = wait(&mut borrower, ms(0), 100);
    let request = borrower.due_requests(ms(0)).remove(0);
    let QuotaDemand { waiting, .. } = &request.demands[0];
    assert_eq!(waiting, &[5_000, 100]);
    let granted = GrantedTokens { tokens: 4_000, retry_after: Duration::from_millis(40) };
    let grant = QuotaGrant { seq: request.seq, slot: request.slot, grants: vec![granted] };
    borrower.handle_grant(ms(5), &grant);
    // The tokens would do for the second request, but the first one is before it.
    assert_eq!(borrower.take_resolved(ms(5)).len(), 0);
    // Nothing tells how long the tokens for a request take here, so it waits for the longest time.
    let longest = MAX_WAIT + Duration::from_millis(50);
    assert_eq!(borrower.take_resolved(ms(0) + longest - Duration::from_millis(1)).len(), 0);
    let resolved = borrower.take_resolved(ms(0) + longest);
    let order: Vec<_> = resolved.iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(order, [first, second]);
    assert!(matches!(resolved[0].1, Err(QuotaDenial::Exceeded { .. })));
    let unanswered = wait(&mut borrower, ms(2_000), 9_000);
    borrower.due_requests(ms(2_000));
    let end = ms(2_000) + longest + EXTRA_UNKNOWN_WAIT;
    assert_eq!(borrower.take_resolved(end - Duration::from_millis(1)), []);
    let resolved = borrower.take_resolved(end);
    assert_eq!(resolved, [(unanswered, Err(QuotaDenial::Unknown))]);
}
