//! One process: starts the roles of its settings and stops them as planned on a signal.

use std::path::{Path, PathBuf};
use std::time::Duration;

use eyre::{OptionExt, WrapErr, bail};
use slog::{Level, Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::cli::Process;
use crate::control::Control;
use crate::dialect::SharedDialect;
use crate::gateway::RunningGateway;
use crate::gateway::settings::GatewaySettings;
use crate::group::GroupMember;
use crate::group::settings::MemberSettings;
use crate::jsonc::{self, Lenient, Validate};
use crate::logging;
use crate::router::Router;
use crate::settings::{Settings, SettingsError};

/// Roles that a command asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Roles {
    /// A router.
    Router,
    /// A control member.
    Control,
    /// All that the settings have a section for.
    All,
}

/// Runs until a signal ends it as planned.
///
/// # Errors
/// When the settings have faults, a role can't start, or the disk of a control member fails.
pub async fn run(process: Process, roles: Roles) -> eyre::Result<()> {
    let settings = Settings::read(&process.settings)?;
    let level = if process.verbose { Level::Debug } else { Level::Info };
    let log = logging::logger(&settings.host, level);
    let mut stop = signal(SignalKind::terminate()).wrap_err("SIGTERM can't be handled")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT can't be handled")?;
    let control = start_control(&settings, roles, &log).await?;
    let router = start_router(&settings, roles, &log).await?;
    let failed = wait_for_stop(control, &mut stop, &mut interrupt).await;
    match failed {
        StopCause::Signal(control) => {
            info!(log, "planned stop"; "event" => "stop");
            stop_router(router, &mut stop, &mut interrupt, &log).await;
            if let Some(control) = control {
                control.stop().await;
            }
            Ok(())
        }
        StopCause::Disk(error) => {
            stop_router(router, &mut stop, &mut interrupt, &log).await;
            Err(error).wrap_err("the control member had to stop")
        }
    }
}

async fn start_control(
    settings: &Settings,
    roles: Roles,
    log: &Logger,
) -> eyre::Result<Option<Control>> {
    match (&settings.control, roles) {
        (_, Roles::Router) | (None, Roles::All) => Ok(None),
        (None, Roles::Control) => bail!("the settings have no section control"),
        (Some(control), _) => Ok(Some(Control::start(settings, control, log).await?)),
    }
}

async fn start_router(
    settings: &Settings,
    roles: Roles,
    log: &Logger,
) -> eyre::Result<Option<Router>> {
    if roles == Roles::Control || (roles == Roles::All && settings.router.is_none()) {
        return Ok(None);
    }
    let router = settings.router.as_ref();
    let router = router.ok_or_eyre("the settings have no section router")?;
    Ok(Some(Router::start(settings, router, log).await?))
}

enum StopCause {
    Signal(Option<Control>),
    Disk(crate::raft::WalError),
}

async fn wait_for_stop(
    control: Option<Control>,
    stop: &mut Signal,
    interrupt: &mut Signal,
) -> StopCause {
    let Some(mut control) = control else {
        tokio::select! {
            _ = stop.recv() => {}
            _ = interrupt.recv() => {}
        }
        return StopCause::Signal(None);
    };
    tokio::select! {
        _ = stop.recv() => StopCause::Signal(Some(control)),
        _ = interrupt.recv() => StopCause::Signal(Some(control)),
        error = control.failed() => StopCause::Disk(error),
    }
}

/// Stops the router as planned; a second signal cuts off what is in flight.
async fn stop_router(
    router: Option<Router>,
    stop: &mut Signal,
    interrupt: &mut Signal,
    log: &Logger,
) {
    let Some(router) = router else {
        return;
    };
    tokio::select! {
        _ = router.stop() => {}
        _ = stop.recv() => warn!(log, "second signal"; "event" => "stop_now"),
        _ = interrupt.recv() => warn!(log, "second signal"; "event" => "stop_now"),
    }
}

/// Roles that speak a dialect with the outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// A gateway.
    Gateway,
    /// A member of a control group that forms itself.
    Member,
}

/// Runs a gateway or a member until a signal ends it as planned.
///
/// # Errors
/// When the settings have faults, an address can't be used, or the disk of a member fails.
pub async fn run_fleet_role(
    process: Process,
    role: FleetRole,
    dialect: SharedDialect,
) -> eyre::Result<()> {
    let level = if process.verbose { Level::Debug } else { Level::Info };
    let mut stop = signal(SignalKind::terminate()).wrap_err("SIGTERM can't be handled")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT can't be handled")?;
    match role {
        FleetRole::Gateway => {
            let read = read_settings::<GatewaySettings>(&process.settings)?;
            let log = logging::logger_to(std::io::stdout(), &read.document.host, level);
            let settings = into_known_settings(read, &log);
            let gateway = RunningGateway::start(settings, dialect, &log).await?;
            let mut reload = Reload::new(&process, &log)?;
            loop {
                tokio::select! {
                    _ = stop.recv() => break,
                    _ = interrupt.recv() => break,
                    settings = reload.changed() => gateway.reload(&settings),
                }
            }
            info!(log, "planned stop"; "event" => "stop");
            tokio::select! {
                () = gateway.stop() => {}
                _ = interrupt.recv() => warn!(log, "second signal"; "event" => "stop_now"),
            }
        }
        FleetRole::Member => {
            let read = read_settings::<MemberSettings>(&process.settings)?;
            let log = logging::logger_to(std::io::stdout(), &read.document.host, level);
            let settings = into_known_settings(read, &log);
            let mut member = GroupMember::start(settings, dialect, &log).await?;
            let mut reload = Reload::new(&process, &log)?;
            loop {
                tokio::select! {
                    _ = stop.recv() => break,
                    _ = interrupt.recv() => break,
                    settings = reload.changed() => member.reload(&settings),
                    error = member.failed() => {
                        return Err(error).wrap_err("the member had to stop");
                    }
                }
            }
            info!(log, "planned stop"; "event" => "stop");
        }
    }
    Ok(())
}

/// Between two looks at the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Watches a settings file.
struct Reload {
    sighup: Signal,
    path: PathBuf,
    /// The text that was last taken or refused.
    text: String,
    log: Logger,
}

impl Reload {
    fn new(process: &Process, log: &Logger) -> eyre::Result<Self> {
        let sighup = signal(SignalKind::hangup()).wrap_err("SIGHUP can't be handled")?;
        let path = process.settings.clone();
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        Ok(Reload { sighup, path, text, log: log.clone() })
    }

    /// Waits until the file holds other settings that are sound. Faulty ones are logged, and those
    /// in force stay.
    async fn changed<T: serde::de::DeserializeOwned + Validate>(&mut self) -> T {
        loop {
            tokio::select! {
                _ = self.sighup.recv() => {}
                () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
            }
            let Ok(text) = std::fs::read_to_string(&self.path) else {
                continue;
            };
            if text == self.text {
                continue;
            }
            let parsed = jsonc::from_str_lenient(&text);
            self.text = text;
            match parsed {
                Ok(settings) => {
                    info!(self.log, "settings changed"; "event" => "settings_changed");
                    return into_known_settings(settings, &self.log);
                }
                Err(faults) => {
                    warn!(self.log, "settings refused"; "event" => "settings_refused",
                        "fault" => %faults[0], "faults" => faults.len());
                }
            }
        }
    }
}

/// Reads and checks a settings file.
fn read_settings<T: serde::de::DeserializeOwned + Validate>(
    path: &Path,
) -> Result<Lenient<T>, SettingsError> {
    let unreadable = |source| SettingsError::Unreadable { path: path.to_owned(), source };
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    let faulty = |faults| SettingsError::Faulty { path: path.to_owned(), faults };
    jsonc::from_str_lenient(&text).map_err(faulty)
}

/// The settings that this version knows; a later one may have been told more.
fn into_known_settings<T>(read: Lenient<T>, log: &Logger) -> T {
    if let Some(first) = read.unknown.first() {
        warn!(log, "unknown settings passed over"; "event" => "settings_unknown",
            "first" => %first, "fields" => read.unknown.len());
    }
    read.document
}
