//! Commands as processes: exit status and output.

use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use fireflyhead::ops::demo::deployments::Deployment;
use fireflyhead_platform_standin::store::Store;
use fireflyhead_platform_standin::upstream::Upstream;
use fireflyhead_platform_standin::upstream::UpstreamConfig;

/// File of a test, removed with it.
struct File(PathBuf);

impl File {
    fn write(name: &str, text: &str) -> File {
        let path = std::env::temp_dir().join(format!("fireflyhead-{}-{name}", std::process::id()));
        let mut file = std::fs::File::create(&path).expect("a file");
        file.write_all(text.as_bytes()).expect("the text is written");
        File(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path in UTF-8")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        if let Err(e) = std::fs::remove_file(&self.0) {
            eprintln!("{}: {e}", self.0.display());
        }
    }
}

async fn fireflyhead(args: &[&str]) -> Output {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    tokio::task::spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_fireflyhead")).args(args).output().expect("it runs")
    })
    .await
    .expect("it ends")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Guards against an invalid table that is accepted, or reported without the cell.
#[tokio::test]
async fn tables_are_checked() {
    let good = Deployment::from_name("bluebonnet").expect("a known name").table_csv();
    let bad = good.replace(",urgent,4,", ",urgently,4,");
    let (good, bad) = (File::write("good.csv", &good), File::write("bad.csv", &bad));
    let accepted = fireflyhead(&["table", "check", good.path()]).await;
    assert_eq!(accepted.status.code(), Some(0));
    assert!(text(&accepted.stdout).contains("304 rows"), "{}", text(&accepted.stdout));
    let rejected = fireflyhead(&["table", "check", bad.path()]).await;
    assert_eq!(rejected.status.code(), Some(2));
    assert!(text(&rejected.stderr).contains("column `rank`"), "{}", text(&rejected.stderr));
    let diff = fireflyhead(&["table", "diff", good.path(), bad.path()]).await;
    assert_eq!(diff.status.code(), Some(2), "an invalid table has no difference");
}

/// Guards against a table that is accepted and not in the store, and against lists that miss
/// what is there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_table_is_put_into_force_through_the_store() {
    let store = Store::start(0).await.expect("the store starts");
    store.allow_all_writers();
    let address = store.address().to_string();
    let desk = Upstream::start(UpstreamConfig::default()).await.expect("a service starts");
    desk.register(store.address()).await.expect("the store takes the entry");
    let table = Deployment::from_name("magnolia").expect("a known name").table_csv();
    let file = File::write("magnolia.csv", &table);
    let args =
        ["table", "apply", file.path(), "--store", &address, "--engine", "pew-scribe=base:8"];
    for version in ["1", "2"] {
        let applied = fireflyhead(&args).await;
        assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
        let lines = text(&applied.stdout);
        let row = lines.lines().nth(1).expect("a row");
        assert!(row.starts_with(version), "{lines}");
    }
    assert_eq!(store.keys("op/version/base.").len(), 300);
    let upstreams = fireflyhead(&["upstreams", "--store", &address]).await;
    assert!(text(&upstreams.stdout).contains("upstream-1"), "{}", text(&upstreams.stdout));
    let nodes = fireflyhead(&["nodes", "--store", &address, "--format", "json"]).await;
    assert_eq!(text(&nodes.stdout).trim(), "[]");
    let refused = fireflyhead(&["nodes", "--store", "127.0.0.1:1"]).await;
    assert_eq!(refused.status.code(), Some(1));
}

/// Guards against settings that are found wrong one at a time.
#[tokio::test]
async fn the_daemon_lists_all_invalid_settings() {
    let output = Command::new(env!("CARGO_BIN_EXE_fireflyhead-node"))
        .args(["--lease-ttl", "fast", "--capacity", "0"])
        .env("FIREFLYHEAD_CALLER_ADDRESS", "nowhere")
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    let errors = text(&output.stderr);
    for name in ["lease-ttl", "capacity", "caller-address"] {
        assert!(errors.contains(name), "{name} is missing in {errors}");
    }
    let checked = Command::new(env!("CARGO_BIN_EXE_fireflyhead-node"))
        .args(["--check", "--node-id", "n7"])
        .output()
        .expect("it runs");
    assert_eq!(checked.status.code(), Some(0));
    assert!(text(&checked.stdout).contains("node-id = n7"));
}
