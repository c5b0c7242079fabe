//! `fireflyhead accounts`: lists the client accounts in the store and changes their keys and quotas.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fireflyhead::ops::accounts;
use fireflyhead::ops::store::Listing;
use fireflyhead::ops::store::OperatorError;
use fireflyhead_platform::operator::AccountList;
use fireflyhead_platform::operator::AccountListError;
use fireflyhead_policy::Name;
use fireflyhead_policy::accounts::KeyDigest;
use fireflyhead_policy::accounts::Quota;
use fireflyhead_policy::accounts::QuotaUnit;
use serde::Serialize;

use crate::cli;

/// Row of the list.
#[derive(Serialize)]
struct Account {
    name: String,
    /// First digits of the keys' digests.
    keys: Vec<String>,
    priority: Option<u8>,
    unit: Option<&'static str>,
    rate: Option<f64>,
    burst: Option<f64>,
}

/// Configuration that a change wrote to the store.
#[derive(Serialize)]
struct Written {
    version: u64,
}

pub(crate) fn cli() -> Command {
    let account = || Arg::new("account").required(true).help("Name of the account");
    let digest = || Arg::new("key").required(true).help("First digits of the key's SHA-256 digest");
    let file = || {
        let arg = Arg::new("key-file").long("key-file").required(true).value_name("FILE");
        arg.help(
            "File with keys in clear, one a line; never on the command line, where others see it",
        )
    };
    let number = |name: &'static str| Arg::new(name).long(name).value_parser(parse_amount);
    Command::new("accounts")
        .about("List client accounts and change their keys and quotas")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List the accounts").arg(cli::store_arg()))
        .subcommand(Command::new("add-key").about("Add the keys in a file to an account").args([
            account(),
            file(),
            cli::store_arg(),
        ]))
        .subcommand(
            Command::new("rotate-key")
                .about("Replace a key of an account by those in a file")
                .args([account(), digest(), file(), cli::store_arg()]),
        )
        .subcommand(Command::new("remove-key").about("Remove a key from an account").args([
            account(),
            digest(),
            cli::store_arg(),
        ]))
        .subcommand(
            Command::new("set-quota").about("Set the quota of an account").args([
                account(),
                number("rate").required(true).help("Units per second; 0 for no limit"),
                number("burst")
                    .default_value("0")
                    .help("Units at once after a time without requests"),
                Arg::new("unit")
                    .long("unit")
                    .value_parser(["requests", "tokens"])
                    .default_value("requests")
                    .help("What the quota counts"),
                Arg::new("plain-tokens")
                    .long("plain-tokens")
                    .value_parser(value_parser!(u32))
                    .default_value("200")
                    .help("Tokens that a request without a token count counts as"),
                cli::store_arg(),
            ]),
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let (name, matches) = matches.subcommand().expect("the parser requires a subcommand");
    if name == "list" {
        return list(matches).await;
    }
    let operator = cli::operator_client(matches)?;
    let listing = operator.list().await?;
    if listing.config.is_none() {
        bail!("the store has no configuration that can be read");
    }
    let mut account_list = AccountList::read(&listing.config_value)?;
    if let Err(e) = change(name, matches, &mut account_list)? {
        eprintln!("error: {e}");
        return Ok(ExitCode::from(cli::EXIT_USAGE));
    }
    let version = match operator.write_account_list(&listing, &account_list).await {
        Ok(version) => version,
        Err(e @ OperatorError::Conflict) => {
            eprintln!("error: {e}");
            return Ok(ExitCode::from(cli::EXIT_CONFLICT));
        }
        Err(e) => return Err(e.into()),
    };
    cli::print(matches, &Written { version }, &["VERSION"], || vec![vec![version.to_string()]])?;
    Ok(ExitCode::SUCCESS)
}

/// Parses a rate or a burst.
fn parse_amount(text: &str) -> Result<f64, &'static str> {
    let number = text.parse::<f64>().ok().filter(|number| number.is_finite() && *number >= 0.0);
    number.ok_or("not a number of at least 0")
}

/// Applies the change `name` to the accounts.
///
/// # Errors
/// The key file can't be used; the inner error is one of the change itself.
fn change(
    name: &str,
    matches: &ArgMatches,
    account_list: &mut AccountList,
) -> Result<Result<(), AccountListError>> {
    let account = Name::from(cli::text_arg(matches, "account"));
    let add_keys = |account_list: &mut AccountList| -> Result<Result<(), AccountListError>> {
        let keys = accounts::read_keys(Path::new(cli::text_arg(matches, "key-file")))?;
        Ok(keys.iter().try_for_each(|key| account_list.add_key(&account, key)))
    };
    match name {
        "add-key" => add_keys(account_list),
        "rotate-key" => match account_list.remove_key(&account, cli::text_arg(matches, "key")) {
            Ok(()) => add_keys(account_list),
            Err(e) => Ok(Err(e)),
        },
        "remove-key" => Ok(account_list.remove_key(&account, cli::text_arg(matches, "key"))),
        "set-quota" => {
            let number = |name: &str| matches.get_one::<f64>(name).copied().unwrap_or(0.0);
            let unit = match cli::text_arg(matches, "unit") {
                "tokens" => {
                    let plain = matches.get_one::<u32>("plain-tokens").copied();
                    QuotaUnit::Tokens { plain_request: plain.unwrap_or(0) }
                }
                _ => QuotaUnit::Requests,
            };
            let quota = Quota::new(unit, number("rate"), number("burst"));
            Ok(account_list.set_quota(&account, quota.context("--rate, --burst")?))
        }
        name => unreachable!("the parser accepts no subcommand `{name}`"),
    }
}

/// Prints the accounts that can be used, and names the others on standard error.
async fn list(matches: &ArgMatches) -> Result<ExitCode> {
    let Listing { config, .. } = cli::operator_client(matches)?.list().await?;
    let known = config.and_then(|(config, _)| config.accounts).unwrap_or_default();
    let mut rows: Vec<Account> = known
        .iter()
        .map(|account| Account {
            name: account.name.to_string(),
            keys: account.keys.iter().map(KeyDigest::to_string).collect(),
            priority: account.priority,
            unit: account.quota.map(|quota| match quota.unit {
                QuotaUnit::Requests => "requests",
                QuotaUnit::Tokens { .. } => "tokens",
            }),
            rate: account.quota.map(|quota| quota.rate),
            burst: account.quota.map(|quota| quota.burst),
        })
        .collect();
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    for account in known.unusable() {
        let name = account.name.as_ref().map_or("without a name", Name::as_str);
        eprintln!("warning: account {name} can't be used: {}", account.reason);
    }
    cli::print(matches, &rows, &["NAME", "KEYS", "PRIORITY", "UNIT", "RATE", "BURST"], || {
        let row = |a: &Account| {
            let number = |value: Option<f64>| value.map_or(String::new(), |v| v.to_string());
            vec![
                a.name.clone(),
                a.keys.join(" "),
                a.priority.map_or(String::new(), |priority| priority.to_string()),
                a.unit.unwrap_or_default().to_owned(),
                number(a.rate),
                number(a.burst),
            ]
        };
        rows.iter().map(row).collect()
    })?;
    Ok(ExitCode::SUCCESS)
}
