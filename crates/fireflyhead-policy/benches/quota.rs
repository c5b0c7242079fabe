//! Benchmarks of the quota check of a request and of the reply of an owner.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
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
use fireflyhead_policy::quota::borrower::OwnerState;
use fireflyhead_policy::quota::borrower::QuotaBorrower;
use fireflyhead_policy::quota::borrower::TryTake;
use fireflyhead_policy::quota::owner::QuotaOwner;

/// Accounts of the largest configuration.
const ACCOUNTS: usize = 20_000;

fn accounts() -> Vec<(Name, Quota)> {
    let quota = |rate| Quota::new(QuotaUnit::Tokens { plain_request: 200 }, rate, rate);
    let quota = quota(64_000.0).expect("a valid quota").expect("a limit");
    (0..ACCOUNTS).map(|at| (Name::from(format!("account{at}")), quota)).collect()
}

/// A request of an account with stock: the case of nearly all requests.
fn bench_try_take(c: &mut Criterion) {
    let accounts = accounts();
    let now = Time::from_millis(1_000);
    let settings = QuotaSettings::default();
    let mut borrower = QuotaBorrower::new(settings, Name::from("node-1"), 1, 1);
    Slot::all().for_each(|slot| borrower.set_owner(slot, OwnerState::Local));
    // The stock comes from a grant for a waiting request that then takes nothing.
    for (name, quota) in &accounts {
        let _waiting = borrower.try_take(now, name, quota, 64_000);
    }
    loop {
        let requests = borrower.due_requests(now);
        if requests.is_empty() {
            break;
        }
        for QuotaRequest { seq, slot, demands, .. } in requests {
            let granted = |demand: &QuotaDemand| GrantedTokens {
                tokens: demand.waiting.iter().sum(),
                retry_after: Duration::ZERO,
            };
            let grants = demands.iter().map(granted).collect();
            borrower.handle_grant(now, &QuotaGrant { seq, slot, grants });
        }
    }
    let taken: Vec<_> = borrower.take_resolved(now).into_iter().collect();
    for ((name, _), (_, result)) in accounts.iter().zip(taken) {
        if let Ok(taken) = result {
            borrower.give_back(now, name.as_str(), taken);
        }
    }
    let mut next = 0;
    c.bench_function("take the tokens of a request, 20,000 accounts", |b| {
        b.iter(|| {
            next = (next + 7_919) % ACCOUNTS;
            let (name, quota) = &accounts[next];
            black_box(borrower.try_take(black_box(now), name, quota, 1))
        });
    });
    let (name, quota) = &accounts[0];
    c.bench_function("take and return the tokens of a request", |b| {
        b.iter(|| {
            let taken = borrower.try_take(black_box(now), name, quota, 1_630);
            if let TryTake::Granted(taken) = taken {
                borrower.give_back(now, name.as_str(), taken);
            }
            black_box(taken)
        });
    });
}

/// A request of another node for the tokens of one account.
fn bench_grant(c: &mut Criterion) {
    let accounts = accounts();
    let mut owner = QuotaOwner::new(QuotaSettings::default());
    let now = Time::from_millis(1_000);
    let slot = Slot::new(0).expect("a slot");
    owner.add_slot(now, slot);
    let quotas = accounts.iter().map(|(name, quota)| (name.clone(), Some(*quota))).collect();
    owner.set_accounts(now, Arc::new(quotas));
    let mut request = QuotaRequest {
        node: Name::from("node-2"),
        incarnation: 1,
        seq: 0,
        slot,
        demands: vec![QuotaDemand {
            account: accounts[0].0.clone(),
            waiting: vec![1_630],
            expected: 0,
        }],
    };
    c.bench_function("reply to a request for tokens", |b| {
        b.iter(|| {
            request.seq += 1;
            owner.grant(now + Duration::from_micros(request.seq * 100), black_box(&request))
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(300));
    targets = bench_try_take, bench_grant
}
criterion_main!(benches);
