//! The `latchmount` binary: parses the command line, calls the library and prints the result.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use latchmount::allocator;
use latchmount::cli::{Cli, EvacuationCommand, PoisonCommand, Process, RolloutCommand, cli};
use latchmount::dialect::{NativeDialect, SharedDialect};
use latchmount::operator::{self, OperatorError};
use latchmount::process::{self, FleetRole, Roles};
use tokio::runtime::{Builder, Runtime};

#[path = "../platform/mod.rs"]
mod platform;

/// Maximum time for writing the last log lines when a process exits.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    allocator::return_large_pieces();
    let command = match cli().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let runtime = match runtime(&command) {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error, 1),
    };
    runtime.block_on(run(command))
}

/// Creates the async runtime. Gateways and members run on small machines, where a second thread costs more than it
/// gains.
fn runtime(command: &Cli) -> std::io::Result<Runtime> {
    match command {
        Cli::Gateway(_) | Cli::Member(_) => Builder::new_current_thread().enable_all().build(),
        _ => Runtime::new(),
    }
}

/// The dialect called `name`; the default one without a name. `None` for an unknown name.
fn dialect(name: Option<&str>) -> Option<SharedDialect> {
    match name {
        None => Some(Arc::new(NativeDialect::default())),
        Some(platform::NAME) => Some(Arc::new(platform::Platform::default())),
        Some(_) => None,
    }
}

async fn run_fleet_role(process: Process, role: FleetRole) -> ExitCode {
    let Some(dialect) = dialect(process.dialect.as_deref()) else {
        return fail_unknown_dialect(process.dialect.as_deref());
    };
    let ended = process::run_fleet_role(process, role, dialect).await;
    let code = i32::from(ended.is_err());
    // A blocked reader of the log may keep the last lines from being written; the process must exit all the same.
    std::thread::spawn(move || {
        std::thread::sleep(LOG_FLUSH_TIMEOUT);
        std::process::exit(code);
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&format!("{error:#}"), 1),
    }
}

async fn run(command: Cli) -> ExitCode {
    match command {
        Cli::Router(process) => serve(process, Roles::Router).await,
        Cli::Control(process) => serve(process, Roles::Control).await,
        Cli::Serve(process) => serve(process, Roles::All).await,
        Cli::Gateway(process) => run_fleet_role(process, FleetRole::Gateway).await,
        Cli::Member(process) => run_fleet_role(process, FleetRole::Member).await,
        Cli::Check { file } => print(operator::check(&file)),
        Cli::Explain { json, id, files } => print(operator::explain(&id, &files, json)),
        Cli::Account { json, files } => print(operator::account(&files, json)),
        Cli::Init(remote) => print(operator::form(&remote).await),
        Cli::Status { json, remote } => print(operator::status(&remote, json).await),
        Cli::Drain { undo, remote, name } => print(operator::drain(&remote, name, !undo).await),
        Cli::Evacuation { command } => evacuation(command).await,
        Cli::Poison { command } => poison(command).await,
        Cli::Rollout { command } => rollout(command).await,
        Cli::Template { command } => print(operator::template(command).await),
    }
}

async fn evacuation(command: EvacuationCommand) -> ExitCode {
    let Some(dialect) = dialect(command.endpoints().dialect.as_deref()) else {
        return fail_unknown_dialect(command.endpoints().dialect.as_deref());
    };
    print(operator::evacuation(&command, dialect.as_ref()).await)
}

async fn poison(command: PoisonCommand) -> ExitCode {
    let Some(dialect) = dialect(command.endpoints().dialect.as_deref()) else {
        return fail_unknown_dialect(command.endpoints().dialect.as_deref());
    };
    print(operator::poison(&command, dialect.as_ref()).await)
}

async fn rollout(command: RolloutCommand) -> ExitCode {
    let Some(dialect) = dialect(command.endpoints().dialect.as_deref()) else {
        return fail_unknown_dialect(command.endpoints().dialect.as_deref());
    };
    print(operator::rollout(&command, dialect.as_ref()).await)
}

async fn serve(process: Process, roles: Roles) -> ExitCode {
    match process::run(process, roles).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&format!("{error:#}"), 1),
    }
}

fn print(answer: Result<String, OperatorError>) -> ExitCode {
    match answer {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error, error.exit_code()),
    }
}

fn fail_unknown_dialect(name: Option<&str>) -> ExitCode {
    fail(&format!("--dialect: unknown dialect {:?}", name.unwrap_or_default()), 2)
}

fn fail(error: &dyn std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("latchmount: {error}");
    ExitCode::from(code)
}
