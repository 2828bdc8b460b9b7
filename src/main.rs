#![forbid(unsafe_code)]
//! The real proxy: places submitters' connections on execute nodes as the decision module says.

mod net;

use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

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

/// Serve submitters until SIGTERM, as LB_CONFIG and the variables beside it say.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {}

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
}

/// Exit code for a config that cannot be used.
const BAD_CONFIG: u8 = 2;

fn config(path: Option<PathBuf>) -> Result<net::config::Config, String> {
    let path = path.or_else(|| std::env::var_os("LB_CONFIG").map(PathBuf::from));
    net::config::read(&path.ok_or("config: LB_CONFIG is not set")?)
}

fn complain(fault: &str, code: u8) -> ExitCode {
    eprintln!("pierloom: {fault}");
    ExitCode::from(code)
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Version(_) => {
            println!("pierloom {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Check(check) => match config(check.config) {
            Ok(config) => {
                println!("good: {} would listen on {}", config.name, config.listen);
                ExitCode::SUCCESS
            }
            Err(fault) => complain(&fault, BAD_CONFIG),
        },
        Command::Serve(_) => match config(None) {
            Ok(config) => net::serve(config).map_or_else(|fault| complain(&fault, 1), |()| ExitCode::SUCCESS),
            Err(fault) => complain(&fault, BAD_CONFIG),
        },
    }
}
