//! Runs the roles of one process and stops them in an orderly way on a signal.

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

/// Roles of the older mode that a command runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Roles {
    /// A router.
    Router,
    /// A control member.
    Control,
    /// Each role that the settings have a section for.
    All,
}

/// Runs routers and control members until SIGTERM or SIGINT.
///
/// # Errors
/// When the settings are invalid, a role can't start, or the disk of a control member fails.
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
            info!(log, "stopping on a signal"; "event" => "stop");
            stop_router(router, &mut stop, &mut interrupt, &log).await;
            if let Some(control) = control {
                control.stop().await;
            }
            Ok(())
        }
        StopCause::Disk(error) => {
            stop_router(router, &mut stop, &mut interrupt, &log).await;
            Err(error).wrap_err("the control member stopped because its disk failed")
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
        (None, Roles::Control) => bail!("the settings have no `control` section"),
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
    let router = router.ok_or_eyre("the settings have no `router` section")?;
    Ok(Some(Router::start(settings, router, log).await?))
}

/// Why the process stops.
enum StopCause {
    /// A signal; with the running control member, if there is one.
    Signal(Option<Control>),
    /// A disk error of the control member.
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

/// Stops the router, which waits for its requests in flight; a second signal cuts them off.
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
        _ = stop.recv() => warn!(log, "second signal: stopping at once"; "event" => "stop_now"),
        _ = interrupt.recv() => warn!(log, "second signal: stopping at once"; "event" => "stop_now"),
    }
}

/// Roles that use a dialect for their external interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetRole {
    /// A gateway.
    Gateway,
    /// A member of a self-forming group.
    Member,
}

/// Runs a gateway or a member until SIGTERM or SIGINT.
///
/// # Errors
/// When the settings are invalid, the role can't start, or the disk of a member fails.
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
            let mut watcher = SettingsWatcher::new(&process, &log)?;
            loop {
                tokio::select! {
                    _ = stop.recv() => break,
                    _ = interrupt.recv() => break,
                    settings = watcher.changed() => gateway.reload(&settings),
                }
            }
            info!(log, "stopping on a signal"; "event" => "stop");
            tokio::select! {
                () = gateway.stop() => {}
                _ = interrupt.recv() => warn!(log, "second signal: stopping at once"; "event" => "stop_now"),
            }
        }
        FleetRole::Member => {
            let read = read_settings::<MemberSettings>(&process.settings)?;
            let log = logging::logger_to(std::io::stdout(), &read.document.host, level);
            let settings = into_known_settings(read, &log);
            let mut member = GroupMember::start(settings, dialect, &log).await?;
            let mut watcher = SettingsWatcher::new(&process, &log)?;
            loop {
                tokio::select! {
                    _ = stop.recv() => break,
                    _ = interrupt.recv() => break,
                    settings = watcher.changed() => member.reload(&settings),
                    error = member.failed() => {
                        return Err(error).wrap_err("the member stopped because its disk failed");
                    }
                }
            }
            info!(log, "stopping on a signal"; "event" => "stop");
        }
    }
    Ok(())
}

/// Interval between checks of the settings file, which may change without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Watches the settings file for changes.
struct SettingsWatcher {
    sighup: Signal,
    path: PathBuf,
    /// Content of the file at the last check, whether it was valid or not.
    text: String,
    log: Logger,
}

impl SettingsWatcher {
    fn new(process: &Process, log: &Logger) -> eyre::Result<Self> {
        let sighup = signal(SignalKind::hangup()).wrap_err("SIGHUP can't be handled")?;
        let path = process.settings.clone();
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        Ok(SettingsWatcher { sighup, path, text, log: log.clone() })
    }

    /// Waits for new, valid settings in the file. Invalid ones are logged, and the settings in force stay.
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
                    info!(self.log, "settings file changed"; "event" => "settings_changed");
                    return into_known_settings(settings, &self.log);
                }
                Err(faults) => {
                    warn!(self.log, "changed settings are invalid; keeping those in force"; "event" => "settings_refused",
                        "fault" => %faults[0], "faults" => faults.len());
                }
            }
        }
    }
}

/// Reads and validates a settings file.
fn read_settings<T: serde::de::DeserializeOwned + Validate>(
    path: &Path,
) -> Result<Lenient<T>, SettingsError> {
    let unreadable = |source| SettingsError::Unreadable { path: path.to_owned(), source };
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    let invalid = |faults| SettingsError::Invalid { path: path.to_owned(), faults };
    jsonc::from_str_lenient(&text).map_err(invalid)
}

/// Logs the settings that this version does not know, which may be those of a later version, and returns the others.
fn into_known_settings<T>(read: Lenient<T>, log: &Logger) -> T {
    if let Some(first) = read.unknown.first() {
        warn!(log, "ignoring unknown settings"; "event" => "settings_unknown",
            "first" => %first, "fields" => read.unknown.len());
    }
    read.document
}
