//! The `latchmount` binary: parses the command line, calls the library and prints.

use std::process::ExitCode;

use latchmount::cli::{Cli, TemplateCommand, cli};
use latchmount::operator::{self, OperatorError, Session};
use latchmount::process::{self, Roles};

fn main() -> ExitCode {
    let command = match cli().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error, 1),
    };
    runtime.block_on(run(command))
}

async fn run(command: Cli) -> ExitCode {
    match command {
        Cli::Router(process) => finish(process::run(process, Roles::Router).await),
        Cli::Control(process) => finish(process::run(process, Roles::Control).await),
        Cli::Serve(process) => finish(process::run(process, Roles::All).await),
        other => match ask(other).await {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error, error.exit_code()),
        },
    }
}

async fn ask(command: Cli) -> Result<String, OperatorError> {
    match command {
        Cli::Check { file } => {
            let kind = operator::check(&file)?;
            Ok(format!("{}: {kind}", file.display()))
        }
        Cli::Init(remote) => Session::open(&remote)?.form().await,
        Cli::Status { json, remote } => Session::open(&remote)?.status(json).await,
        Cli::Drain { undo, remote, name } => Session::open(&remote)?.drain(name, !undo).await,
        Cli::Template { command } => {
            let remote = match &command {
                TemplateCommand::Submit(args) | TemplateCommand::Revise { args, .. } => {
                    &args.remote
                }
                TemplateCommand::Show { remote, .. }
                | TemplateCommand::List(remote)
                | TemplateCommand::History { remote, .. }
                | TemplateCommand::Wait { remote, .. } => remote,
            };
            Session::open(remote)?.template(command).await
        }
        Cli::Router(_) | Cli::Control(_) | Cli::Serve(_) => Ok(String::new()),
    }
}

fn finish(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&format!("{error:#}"), 1),
    }
}

fn fail(error: &dyn std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("latchmount: {error}");
    ExitCode::from(code)
}
