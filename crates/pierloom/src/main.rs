#![forbid(unsafe_code)]
//! The real proxy: places clients' connections on backends as the decision module says.

mod logs;
mod settings;

use argh::FromArgs;
use pierloom_host::Host;
use pierloom_host::retry::retry_with_backoff_blocking;
use pierloom_proxy::config::{self, Config, ErrorMessage};
use pierloom_proxy::{Components, SignalHandlers};
use settings::{Format, Settings};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

/// A proxy for long-lived connections, round pierloom's decision module.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Version(Version),
    Check(Check),
}

/// Serve clients until SIGTERM, as LB_CONFIG and the variables beside it say.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the settings of our own, a TOML file; the built-in ones where this is left out
    #[argh(option)]
    settings: Option<PathBuf>,
    /// text or json, in place of what the settings say
    #[argh(option)]
    log_format: Option<Format>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Read a config and say whether `serve` would start with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the config file; LB_CONFIG names it where this is left out
    #[argh(positional)]
    config: Option<PathBuf>,
    /// the settings of our own, a TOML file, checked too; alone, no config is asked for
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Exit code for a config that cannot be used.
const BAD_CONFIG: u8 = 2;

fn config(host: &Host, path: Option<PathBuf>) -> Result<Config, ErrorMessage> {
    let path = path.or_else(|| host.env_var("LB_CONFIG").map(PathBuf::from));
    config::read(host, &path.ok_or("config: LB_CONFIG is not set")?)
}

fn own_settings(host: &Host, path: Option<&Path>) -> Result<Settings, ErrorMessage> {
    path.map_or_else(|| Ok(Settings::default()), |path| Settings::read(host, path))
}

fn check(host: &Host, check: Check) -> Result<String, ErrorMessage> {
    own_settings(host, check.settings.as_deref())?;
    match check.settings {
        Some(path) if check.config.is_none() && host.env_var("LB_CONFIG").is_none() => {
            Ok(format!("good: {}", path.display()))
        }
        _ => {
            let config = config(host, check.config)?;
            let doubts: String = config.names.warnings.iter().map(|doubt| format!("; {doubt}")).collect();
            Ok(format!("good: {} would listen on {}{doubts}", config.name, config.listen))
        }
    }
}

/// Installs the handlers of signals first, as whatever comes before would be ended by one.
fn prepare(host: &Host) -> Result<(Runtime, SignalHandlers), ErrorMessage> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = retry_with_backoff_blocking(build).map_err(|e| format!("runtime: {e}"))?;
    let handlers = {
        let _entered = runtime.enter();
        SignalHandlers::install(host)?
    };
    Ok((runtime, handlers))
}

fn serve(host: &Host, asked: &Serve) -> Result<ExitCode, ErrorMessage> {
    let (runtime, handlers) = prepare(host)?;
    let read = own_settings(host, asked.settings.as_deref())
        .and_then(|settings| Ok((settings, config(host, None)?)));
    let (mut settings, config) = match read {
        Ok(read) => read,
        Err(fault) => return Ok(complain(&fault, BAD_CONFIG)),
    };
    settings.log.format = asked.log_format.unwrap_or(settings.log.format);
    logs::start(&settings.log);
    let parts = Components::from_config(&config)?;
    LocalSet::new().block_on(&runtime, pierloom_proxy::run(host.clone(), handlers, config, parts))?;
    Ok(ExitCode::SUCCESS)
}

fn complain(fault: &str, code: u8) -> ExitCode {
    eprintln!("pierloom: {fault}");
    ExitCode::from(code)
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let host = Host::os();
    match arguments.command {
        Command::Version(_) => {
            println!("pierloom {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Check(asked) => match check(&host, asked) {
            Ok(good) => {
                println!("{good}");
                ExitCode::SUCCESS
            }
            Err(fault) => complain(&fault, BAD_CONFIG),
        },
        Command::Serve(asked) => serve(&host, &asked).unwrap_or_else(|fault| complain(&fault, 1)),
    }
}
