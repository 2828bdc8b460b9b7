#![forbid(unsafe_code)]
//! The proxy program: places clients' connections on backends as the decision module decides.

mod logs;
mod settings;

use argh::FromArgs;
use pierloom_host::Host;
use pierloom_host::retry::retry_with_backoff_blocking;
use pierloom_proxy::config::{self, Config, ErrorMessage};
use pierloom_proxy::{Components, SignalHandlers};
use settings::{LogFormat, ProgramSettings};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

/// A proxy for long-lived connections, built around pierloom's decision module.
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

/// Serve clients until SIGTERM, with the config that LB_CONFIG names and the LB_ variables that override it.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// pierloom's own settings file (TOML); defaults to the built-in settings
    #[argh(option)]
    settings: Option<PathBuf>,
    /// format of the log, text or json; overrides the settings file
    #[argh(option)]
    log_format: Option<LogFormat>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Read a config and say whether `serve` would start with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the config file; defaults to the one that LB_CONFIG names
    #[argh(positional)]
    config: Option<PathBuf>,
    /// pierloom's own settings file (TOML) to check as well; if no config is named, only these are checked
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// Exit code for a config or settings file that cannot be used.
const EXIT_BAD_CONFIG: u8 = 2;
/// Exit code for any other failure.
const EXIT_FAILURE: u8 = 1;

/// Reads the config file at `path`, or else the one that LB_CONFIG names.
fn read_config(host: &Host, path: Option<PathBuf>) -> Result<Config, ErrorMessage> {
    let path = path.or_else(|| host.env_var("LB_CONFIG").map(PathBuf::from));
    config::read(host, &path.ok_or("config: LB_CONFIG is not set")?)
}

/// Reads the settings file, or returns the built-in settings if there is none.
fn read_program_settings(host: &Host, path: Option<&Path>) -> Result<ProgramSettings, ErrorMessage> {
    path.map_or_else(|| Ok(ProgramSettings::default()), |path| ProgramSettings::read(host, path))
}

/// Checks the settings file, if one is named, and the config that the command or LB_CONFIG names. Returns the
/// line to print.
fn check(host: &Host, options: Check) -> Result<String, ErrorMessage> {
    read_program_settings(host, options.settings.as_deref())?;
    match options.settings {
        Some(path) if options.config.is_none() && host.env_var("LB_CONFIG").is_none() => {
            Ok(format!("good: {}", path.display()))
        }
        _ => {
            let config = read_config(host, options.config)?;
            let warnings: String =
                config.names.warnings.iter().map(|warning| format!("; {warning}")).collect();
            Ok(format!("good: {} would listen on {}{warnings}", config.name, config.listen))
        }
    }
}

/// Builds the runtime and installs the signal handlers. This comes first, as a signal without a handler ends
/// the process.
fn build_runtime(host: &Host) -> Result<(Runtime, SignalHandlers), ErrorMessage> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = retry_with_backoff_blocking(build).map_err(|e| format!("runtime: {e}"))?;
    let handlers = {
        let _entered = runtime.enter();
        SignalHandlers::install(host)?
    };
    Ok((runtime, handlers))
}

/// Runs the proxy until SIGTERM; returns the exit code.
fn serve(host: &Host, options: &Serve) -> Result<ExitCode, ErrorMessage> {
    let (runtime, handlers) = build_runtime(host)?;
    let loaded = read_program_settings(host, options.settings.as_deref())
        .and_then(|settings| Ok((settings, read_config(host, None)?)));
    let (mut settings, config) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => return Ok(report_error(&error, EXIT_BAD_CONFIG)),
    };
    settings.log.format = options.log_format.unwrap_or(settings.log.format);
    logs::init(&settings.log);
    let components = Components::from_config(&config)?;
    LocalSet::new().block_on(&runtime, pierloom_proxy::run(host.clone(), handlers, config, components))?;
    Ok(ExitCode::SUCCESS)
}

/// Prints an error message and returns the exit code, which is the same where the message cannot be written:
/// `eprintln!` would panic.
fn report_error(error: &str, code: u8) -> ExitCode {
    let _ = writeln!(io::stderr(), "pierloom: {error}");
    ExitCode::from(code)
}

/// Prints the output of a command and returns the exit code.
fn print_output(line: &str) -> ExitCode {
    match writeln!(io::stdout(), "{line}") {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&format!("standard output: {error}"), EXIT_FAILURE),
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let host = Host::os();
    match arguments.command {
        Command::Version(_) => print_output(concat!("pierloom ", env!("CARGO_PKG_VERSION"))),
        Command::Check(options) => match check(&host, options) {
            Ok(message) => print_output(&message),
            Err(error) => report_error(&error, EXIT_BAD_CONFIG),
        },
        Command::Serve(options) => {
            serve(&host, &options).unwrap_or_else(|error| report_error(&error, EXIT_FAILURE))
        }
    }
}
