//! Benchmarks of finding the account of a key, by the number of accounts; the digest of the key is
//! part of it. The bound is 1 us for a request.
//!
//! Recorded results refer to the benchmark ids, so their wording stays.

use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use fireflyhead_policy::Name;
use fireflyhead_policy::accounts::Accounts;
use fireflyhead_policy::accounts::ClientAccount;
use fireflyhead_policy::accounts::Credential;
use fireflyhead_policy::accounts::KeyDigest;
use fireflyhead_policy::accounts::MAX_KEY_BYTES;
use fireflyhead_policy::authentication::ConfigState;
use fireflyhead_policy::authentication::authenticate;

/// Returns key `n`, of the length that the platform's keys have.
fn key(n: usize) -> String {
    format!("key-{n:016}")
}

/// Returns `count` accounts with two keys each.
fn accounts(count: usize) -> Accounts {
    let account = |n: usize| ClientAccount {
        name: Name::from(format!("account-{n}")),
        keys: vec![KeyDigest::of(&key(2 * n)), KeyDigest::of(&key(2 * n + 1))],
        priority: None,
        quota: None,
    };
    Accounts::new((0..count).map(account).collect(), Vec::new())
}

fn bench_keys(c: &mut Criterion) {
    let mut group = c.benchmark_group("key");
    for count in [16, 20_000] {
        let accounts = accounts(count);
        let keys: Vec<String> = (0..2 * count).map(key).collect();
        let mut next = 0;
        group.bench_function(BenchmarkId::new("known", count), |b| {
            b.iter(|| {
                next = (next + 7_919) % keys.len();
                let credential = Credential::Key(Some(KeyDigest::of(&keys[next])));
                black_box(authenticate(Some(&accounts), ConfigState::Current, false, credential))
            });
        });
        group.bench_function(BenchmarkId::new("unknown", count), |b| {
            b.iter(|| {
                let credential = Credential::Key(Some(KeyDigest::of(black_box("unknown-key"))));
                black_box(authenticate(Some(&accounts), ConfigState::Current, false, credential))
            });
        });
    }
    let longest = "x".repeat(MAX_KEY_BYTES);
    group.bench_function("longest", |b| b.iter(|| KeyDigest::of(black_box(&longest))));
    group.finish();
}

criterion_group!(benches, bench_keys);
criterion_main!(benches);
