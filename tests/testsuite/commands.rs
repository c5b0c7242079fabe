//! Runs the programs as processes and checks their exit status and output.

use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use fireflyhead::ops::demo::deployments::Deployment;
use fireflyhead_platform_standin::store::Store;
use fireflyhead_platform_standin::upstream::Upstream;
use fireflyhead_platform_standin::upstream::UpstreamConfig;
use fireflyhead_policy::accounts::KeyDigest;
use fireflyhead_policy::table::COLUMNS;
use fireflyhead_policy::table::OPTIONAL_COLUMNS;
use serde_json::Value;
use serde_json::json;

/// Temporary file of a test; removed on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn write(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("fireflyhead-{}-{name}", std::process::id()));
        let mut file = std::fs::File::create(&path).expect("the file is created");
        file.write_all(text.as_bytes()).expect("the text is written");
        TempFile(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is valid UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        if let Err(e) = std::fs::remove_file(&self.0) {
            eprintln!("cannot remove {}: {e}", self.0.display());
        }
    }
}

/// Runs `fireflyhead` with `args` to its end.
async fn run_fireflyhead(args: &[&str]) -> Output {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    tokio::task::spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_fireflyhead"))
            .args(args)
            .output()
            .expect("the program runs")
    })
    .await
    .expect("the program runs to its end")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Guards against a valid table that is rejected, and against an invalid one that is accepted or
/// whose error does not name the column.
#[tokio::test]
async fn table_check_rejects_an_invalid_table() {
    let good = Deployment::from_name("bluebonnet").expect("the name is known").table_csv();
    let bad = good.replace(",urgent,4,", ",urgently,4,");
    let (good, bad) = (TempFile::write("good.csv", &good), TempFile::write("bad.csv", &bad));
    let accepted = run_fireflyhead(&["table", "check", good.path()]).await;
    assert_eq!(accepted.status.code(), Some(0));
    assert!(text(&accepted.stdout).contains("304 rows"), "{}", text(&accepted.stdout));
    let rejected = run_fireflyhead(&["table", "check", bad.path()]).await;
    assert_eq!(rejected.status.code(), Some(2));
    assert!(text(&rejected.stderr).contains("column `rank`"), "{}", text(&rejected.stderr));
    let diff = run_fireflyhead(&["table", "diff", good.path(), bad.path()]).await;
    assert_eq!(diff.status.code(), Some(2), "the diff of an invalid table fails");
}

/// Guards against an applied table that is missing from the store, and against lists that miss
/// registered upstreams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn table_apply_writes_the_store_and_lists_read_it() {
    let store = Store::start(0).await.expect("the store starts");
    store.allow_all_writers();
    let address = store.address().to_string();
    let upstream = Upstream::start(UpstreamConfig::default()).await.expect("the upstream starts");
    upstream.register(store.address()).await.expect("the store accepts the entry");
    let table = Deployment::from_name("magnolia").expect("the name is known").table_csv();
    let file = TempFile::write("magnolia.csv", &table);
    let args =
        ["table", "apply", file.path(), "--store", &address, "--engine", "pew-scribe=base:8"];
    for version in ["1", "2"] {
        let applied = run_fireflyhead(&args).await;
        assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
        let lines = text(&applied.stdout);
        let row = lines.lines().nth(1).expect("the output has a row");
        assert!(row.starts_with(version), "{lines}");
    }
    assert_eq!(store.keys("op/version/base.").len(), 300);
    let upstreams = run_fireflyhead(&["upstreams", "--store", &address]).await;
    assert!(text(&upstreams.stdout).contains("upstream-1"), "{}", text(&upstreams.stdout));
    let nodes = run_fireflyhead(&["nodes", "--store", &address, "--format", "json"]).await;
    assert_eq!(text(&nodes.stdout).trim(), "[]");
    let unreachable = run_fireflyhead(&["nodes", "--store", "127.0.0.1:1"]).await;
    assert_eq!(unreachable.status.code(), Some(1));
}

/// Guards against a table that nodes ignore after a restore of the store, because its version is one
/// that the store has lost, or a lower one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn table_apply_exceeds_the_versions_that_a_restored_store_has_lost() {
    let store = Store::start(0).await.expect("the store starts");
    store.allow_all_writers();
    let address = store.address().to_string();
    let table = Deployment::from_name("magnolia").expect("the name is known").table_csv();
    let file = TempFile::write("restored.csv", &table);
    let args =
        ["table", "apply", file.path(), "--store", &address, "--engine", "pew-scribe=base:8"];
    let mut versions = Vec::new();
    for _ in 0..2 {
        let copy = store.backup();
        for _ in 0..3 {
            let applied = run_fireflyhead(&args).await;
            assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
            let config = store.get("op/config").expect("the configuration is written");
            let config: serde_json::Value = serde_json::from_str(&config).expect("it is JSON");
            versions.push(config["version"].as_u64().expect("it has a version"));
        }
        drop(store.restore(&copy));
    }
    assert!(versions.is_sorted_by(|earlier, later| earlier < later), "{versions:?}");
}

/// Guards against a daemon that reports only the first invalid setting.
#[tokio::test]
async fn the_daemon_reports_all_invalid_settings() {
    let output = Command::new(env!("CARGO_BIN_EXE_fireflyhead-node"))
        .args(["--lease-ttl", "fast", "--capacity", "0"])
        .env("FIREFLYHEAD_CALLER_ADDRESS", "nowhere")
        .output()
        .expect("the daemon runs");
    assert_eq!(output.status.code(), Some(2));
    let errors = text(&output.stderr);
    for name in ["lease-ttl", "capacity", "caller-address"] {
        assert!(errors.contains(name), "{name} is missing in {errors}");
    }
    let checked = Command::new(env!("CARGO_BIN_EXE_fireflyhead-node"))
        .args(["--check", "--node-id", "n7"])
        .output()
        .expect("the daemon runs");
    assert_eq!(checked.status.code(), Some(0));
    assert!(text(&checked.stdout).contains("node-id = n7"));
}

/// Guards against account rows and commands that write other keys or quotas than they say, that drop
/// the accounts with a table of routes alone, or that print a key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accounts_are_written_by_table_and_by_command() {
    let store = Store::start(0).await.expect("the store starts");
    store.allow_all_writers();
    let address = store.address().to_string();
    let run = async |args: &[&str], status: i32| {
        let output = run_fireflyhead(&[args, &["--store", &address]].concat()).await;
        let printed = format!("{}{}", text(&output.stdout), text(&output.stderr));
        assert_eq!(output.status.code(), Some(status), "{args:?}: {printed}");
        assert!(!printed.contains("secret"), "{args:?}: {printed}");
        printed
    };
    let tenants = || {
        let config = store.get("op/config").expect("the configuration is written");
        let config: Value = serde_json::from_str(&config).expect("it is JSON");
        config["tenants"].clone()
    };
    let keys = TempFile::write("keys.txt", "secret-1\n\n secret-2 \n");
    let more = TempFile::write("more.txt", "secret-3\n");
    let digest = |key: &str| KeyDigest::of(key).to_hex();
    let header = format!("{},{}", COLUMNS.join(","), OPTIONAL_COLUMNS.join(","));
    let class = "class,desk,,desk,* /,,standard,1,0,,,530,5000,0.2,true,,,,,,";
    let name = keys.path().rsplit('/').next().expect("a file name");
    let rows = format!(
        "{header}\n{class}\naccount,a,,,,,,,,5,,,,,,file:{name},10,1,tokens,200,\naccount,b,,,,,,,,,,,,,,,,,,,\n"
    );
    let table = TempFile::write("accounts.csv", &rows);
    run(&["table", "apply", table.path()], 0).await;
    let expected = json!([
        {
            "name": "a", "apiKeys": ["secret-1", "secret-2"], "priority": 1, "unit": "token_count",
            "plainTokens": 200, "ratePerS": 5.0, "burst": 10.0,
        },
        { "name": "b", "apiKeys": [] },
    ]);
    assert_eq!(tenants(), expected);
    run(&["accounts", "add-key", "b", "--key-file", more.path()], 0).await;
    run(&["accounts", "add-key", "a", "--key-file", more.path()], 2).await;
    run(&["accounts", "add-key", "c", "--key-file", more.path()], 2).await;
    run(&["accounts", "remove-key", "a", &digest("secret-1")[..12]], 0).await;
    run(&["accounts", "remove-key", "a", &digest("secret-1")], 2).await;
    run(&["accounts", "rotate-key", "b", &digest("secret-3"), "--key-file", more.path()], 0).await;
    let quota = ["accounts", "set-quota", "b", "--rate", "2", "--burst", "4"];
    run(&quota, 0).await;
    run(&["accounts", "set-quota", "b", "--rate=-2"], 2).await;
    run(&["accounts", "set-quota", "a", "--rate", "0"], 0).await;
    let expected = json!([
        { "name": "a", "apiKeys": ["secret-2"], "priority": 1 },
        { "name": "b", "apiKeys": ["secret-3"], "ratePerS": 2.0, "burst": 4.0 },
    ]);
    assert_eq!(tenants(), expected);
    // A table of routes alone keeps the accounts, and one with digests the keys.
    let routes = TempFile::write("routes.csv", &format!("{header}\n{class}\n"));
    run(&["table", "apply", routes.path()], 0).await;
    assert_eq!(tenants(), expected);
    let row = |key: &str| {
        let key = digest(key);
        format!("{header}\n{class}\naccount,b,,,,,,,,,,,,,,sha256:{key},,,,,\n")
    };
    let digests = TempFile::write("digests.csv", &row("secret-3"));
    run(&["table", "apply", digests.path()], 0).await;
    assert_eq!(tenants(), json!([{ "name": "b", "apiKeys": ["secret-3"] }]));
    let missing = TempFile::write("missing.csv", &row("secret-9"));
    let error = run(&["table", "apply", missing.path()], 2).await;
    assert!(error.contains(&digest("secret-9")[..8]), "{error}");
    let list = run(&["accounts", "list"], 0).await;
    assert!(list.contains(&digest("secret-3")[..8]), "{list}");
}
