//! Commands of the command line for operators. Errors say what to do next.

mod member_api;

use std::path::{Path, PathBuf};
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;

pub use self::member_api::{evacuation, poison, rollout};
use crate::account::Account;
use crate::cli::{ChangeArgs, Remote, TemplateCommand};
use crate::clock::Instant;
use crate::explain::Timeline;
use crate::gateway::settings::GatewaySettings;
use crate::group::settings::MemberSettings;
use crate::jsonc::{self, Fault, Validate};
use crate::rpc::{ControlClient, ControlError, MemberClients, Status};
use crate::settings::Settings;
use crate::store::{Answer, Change, Drain, Stored};
use crate::targets::{Listed, Serves};
use crate::template::Template;

/// Timeout of one call; after it, the next member is tried.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time that one call waits for a revision, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// Field that only templates have, which distinguishes them from settings.
const TEMPLATE_FIELD: &str = "teams";
/// Field that only settings of `member` processes have at the top level.
const MEMBER_FIELD: &str = "data_dir";
/// Field that settings of gateways have and those of `serve` processes don't. Settings of members have it too,
/// so [`MEMBER_FIELD`] must be looked up first.
const GATEWAY_FIELD: &str = "peer_port";
/// Delay before the next attempt at a call.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// A file can't be read.
    #[error("can't read {path}: {source}")]
    UnreadableFile {
        /// The file.
        path: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// A file, or what was sent to a member, has faults.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Invalid(Vec<Fault>),
    /// The revision is based on a version that is not the one in force.
    #[error("conflict: {}; look at `template show`, then revise with --base {in_force}", in_force_text(*.in_force))]
    Conflict {
        /// Version in force; 0 for none.
        in_force: u64,
    },
    /// The change id was used for another change.
    #[error("this change id was used for another change; choose another")]
    IdReused,
    /// No template of this name is in force.
    #[error("no template {0} in force; `template list` names them all")]
    NoTemplate(String),
    /// A revision is not yet in force at these routers.
    #[error("revision not in force yet at routers: {}; try again", .0.join(" "))]
    NotInForce(Vec<String>),
    /// No member gave a clear answer; the order may or may not be in force.
    #[error(
        "no member gave a clear answer within {seconds} s: the order may or may not be in force; try again"
    )]
    NoAnswer {
        /// How long calls were attempted.
        seconds: u64,
    },
    /// The HTTP client can't be created, or a member's answer broke off.
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    /// The control group refused the call or could not be reached.
    #[error("{0}")]
    Control(#[from] ControlError),
}

/// Text that says which version of a template is in force; 0 means none.
fn in_force_text(version: u64) -> String {
    match version {
        0 => "the template does not exist yet, submit it".to_owned(),
        version => format!("version {version} is in force"),
    }
}

impl OperatorError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            OperatorError::Invalid(_) | OperatorError::Control(ControlError::Invalid(_)) => 2,
            OperatorError::Conflict { .. } => 3,
            OperatorError::Control(ControlError::Unauthorized) => 4,
            _ => 1,
        }
    }
}

/// Explains what happened to a request, from log files, or from standard input if `files` is empty.
///
/// # Errors
/// [`OperatorError::UnreadableFile`].
pub fn explain(id: &str, files: &[PathBuf], json: bool) -> Result<String, OperatorError> {
    let mut texts = Vec::new();
    for file in files {
        texts.push(read(file)?);
    }
    if files.is_empty() {
        let unreadable =
            |source| OperatorError::UnreadableFile { path: "standard input".into(), source };
        texts.push(std::io::read_to_string(std::io::stdin()).map_err(unreadable)?);
    }
    let story = Timeline::of(id, texts.iter().flat_map(|text| text.lines()));
    if json {
        return Ok(serde_json::to_string_pretty(&story).unwrap_or_default());
    }
    Ok(story.to_string())
}

/// Counts a day's requests by how they ended, from log files, or from standard input if `files` is empty.
///
/// # Errors
/// [`OperatorError::UnreadableFile`].
pub fn account(files: &[PathBuf], json: bool) -> Result<String, OperatorError> {
    let mut account = Account::default();
    for file in files {
        let unreadable =
            |source| OperatorError::UnreadableFile { path: file.display().to_string(), source };
        let log = std::fs::File::open(file).map_err(unreadable)?;
        account.read(std::io::BufReader::new(log)).map_err(unreadable)?;
    }
    if files.is_empty() {
        let unreadable =
            |source| OperatorError::UnreadableFile { path: "standard input".into(), source };
        account.read(std::io::stdin().lock()).map_err(unreadable)?;
    }
    if json {
        return Ok(account.to_json().unwrap_or_default());
    }
    Ok(account.to_string())
}

/// Checks a settings or template file. The text returned says what kind of file it is.
///
/// # Errors
/// [`OperatorError::Invalid`] with all faults, or [`OperatorError::UnreadableFile`].
pub fn check(path: &Path) -> Result<String, OperatorError> {
    let text = read(path)?;
    let kind = if jsonc::has_field(&text, TEMPLATE_FIELD) {
        parse::<Template>(&text)?;
        "a sound template"
    } else if jsonc::has_field(&text, MEMBER_FIELD) {
        parse::<MemberSettings>(&text)?;
        "sound settings of a member"
    } else if jsonc::has_field(&text, GATEWAY_FIELD) {
        parse::<GatewaySettings>(&text)?;
        "sound settings of a gateway"
    } else {
        parse::<Settings>(&text)?;
        "sound settings"
    };
    Ok(format!("{}: {kind}", path.display()))
}

/// Forms a control group of blank members.
///
/// # Errors
/// When a member is unreachable, belongs to a group already, or refuses.
pub async fn form(remote: &Remote) -> Result<String, OperatorError> {
    let client = Client::open(remote)?;
    let formed = client.group.current().form(client.token.clone()).await;
    let group = formed.map_err(ControlError::from)?;
    Ok(format!("formed group {:016x}", group.0))
}

/// Runs a command on templates.
///
/// # Errors
/// [`OperatorError`] when the control group refuses or a file can't be read.
pub async fn template(command: TemplateCommand) -> Result<String, OperatorError> {
    match command {
        TemplateCommand::Submit(args) => Client::open(&args.remote)?.change(0, &args).await,
        TemplateCommand::Revise { base, args } => {
            Client::open(&args.remote)?.change(base, &args).await
        }
        TemplateCommand::Show { remote, name } => Client::open(&remote)?.show(&name).await,
        TemplateCommand::List(remote) => Client::open(&remote)?.list().await,
        TemplateCommand::History { remote, name } => Client::open(&remote)?.history(&name).await,
        TemplateCommand::Wait { remote, revision } => Client::open(&remote)?.wait(revision).await,
    }
}

/// Starts or ends a drain of a host or target.
///
/// # Errors
/// [`OperatorError`] when the control group refuses or does not answer in time.
pub async fn drain(remote: &Remote, name: String, on: bool) -> Result<String, OperatorError> {
    let drain = Drain { name, on };
    let answer = Client::open(remote)?
        .call(async |client, token| client.drain(token, drain.clone()).await)
        .await?;
    match answer {
        Answer::Accepted { revision, .. } => Ok(format!("accepted revision {revision}")),
        other => Ok(other.label().to_owned()),
    }
}

/// Status of the control group, as a table or JSON.
///
/// # Errors
/// [`OperatorError`] when the control group refuses or does not answer in time.
pub async fn status(remote: &Remote, json: bool) -> Result<String, OperatorError> {
    let status =
        Client::open(remote)?.call(async |client, token| client.status(token).await).await?;
    if json {
        return Ok(serde_json::to_string_pretty(&status).unwrap_or_default());
    }
    Ok(table(&status))
}

fn parse<T: serde::de::DeserializeOwned + Validate>(text: &str) -> Result<T, OperatorError> {
    jsonc::from_str(text).map_err(OperatorError::Invalid)
}

fn read(path: &Path) -> Result<String, OperatorError> {
    std::fs::read_to_string(path).map_err(|source| OperatorError::UnreadableFile {
        path: path.display().to_string(),
        source,
    })
}

/// An operator's client of a control group.
struct Client {
    group: MemberClients,
    token: String,
    deadline: Instant,
}

impl Client {
    /// Reads the token from its file and creates clients of the members.
    fn open(remote: &Remote) -> Result<Self, OperatorError> {
        let timeout = Duration::from_secs(remote.timeout_s);
        Ok(Client {
            group: MemberClients::new(&remote.control, CALL_TIMEOUT)?,
            token: read(&remote.token_file)?.trim().to_owned(),
            deadline: Instant::now() + timeout,
        })
    }

    /// Calls one member after another until one answers or the deadline has passed. Every call may be
    /// repeated: a change has an id by which members recognize it.
    async fn call<T>(
        &mut self,
        call: impl AsyncFn(&HttpClient, String) -> Result<T, ClientError>,
    ) -> Result<T, OperatorError> {
        loop {
            let error = match call(self.group.current(), self.token.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(error) => ControlError::from(error),
            };
            let retryable = matches!(
                error,
                ControlError::NotLeader { .. }
                    | ControlError::Unknown
                    | ControlError::Stopping
                    | ControlError::Call(_)
            );
            if !retryable || Instant::now() >= self.deadline {
                return Err(error.into());
            }
            self.group.switch_member(&error);
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn show(&mut self, name: &str) -> Result<String, OperatorError> {
        let stored = self.stored(name).await?;
        Ok(serde_json::to_string_pretty(&stored.template).unwrap_or_default())
    }

    async fn history(&mut self, name: &str) -> Result<String, OperatorError> {
        let stored = self.stored(name).await?;
        let lines = stored.history.iter().map(|version| {
            format!(
                "version {} revision {} by {} change {}",
                version.version, version.revision, version.author, version.change
            )
        });
        Ok(lines.collect::<Vec<_>>().join("\n"))
    }

    async fn change(&mut self, base: u64, args: &ChangeArgs) -> Result<String, OperatorError> {
        let template: Template = parse(&read(&args.file)?)?;
        let id = args.change_id.clone();
        let id = id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let change = Change { id: id.clone(), base, author: String::new(), template };
        let change = serde_json::to_value(change).unwrap_or_default();
        let answer =
            self.call(async |client, token| client.change(token, change.clone()).await).await?;
        match answer {
            Answer::Accepted { version, revision } => {
                Ok(format!("accepted version {version} revision {revision} change {id}"))
            }
            Answer::Conflict { in_force } => Err(OperatorError::Conflict { in_force }),
            Answer::Rejected { faults } => Err(OperatorError::Invalid(faults)),
            Answer::IdReused => Err(OperatorError::IdReused),
            Answer::Claim(_)
            | Answer::Released
            | Answer::Configured { .. }
            | Answer::WrongBase
            | Answer::Listed
            | Answer::Evacuation(_)
            | Answer::Rollout(_) => Err(ControlError::Unknown.into()),
        }
    }

    async fn templates(&mut self) -> Result<Vec<Stored>, OperatorError> {
        self.call(async |client, token| client.templates(token).await).await
    }

    async fn stored(&mut self, name: &str) -> Result<Stored, OperatorError> {
        let templates = self.templates().await?;
        let mut named = templates.into_iter().filter(|stored| stored.template.name == name);
        named.next().ok_or_else(|| OperatorError::NoTemplate(name.to_owned()))
    }

    async fn list(&mut self) -> Result<String, OperatorError> {
        let templates = self.templates().await?;
        let lines = templates.iter().map(|stored| {
            let template = &stored.template;
            format!(
                "{} version {} revision {} model {} teams {}",
                template.name,
                stored.version,
                stored.revision,
                template.model,
                template.teams.len()
            )
        });
        Ok(lines.collect::<Vec<_>>().join("\n"))
    }

    async fn wait(&mut self, revision: u64) -> Result<String, OperatorError> {
        loop {
            let reply = self
                .call(async |client, token| client.wait(token, revision, MAX_WAIT_MS).await)
                .await?;
            if reply.in_force {
                let routers = reply.ready.len();
                return Ok(format!("revision {revision} in force at all {routers} live routers"));
            }
            if Instant::now() >= self.deadline {
                return Err(OperatorError::NotInForce(reply.behind));
            }
        }
    }
}

/// The status as tables: group, members, routers, targets.
fn table(status: &Status) -> String {
    let mut lines = vec![format!(
        "partner {} term {} leader {} revision {} commit {}",
        status.partner, status.term, status.leader, status.revision, status.commit
    )];
    lines.push(format!(
        "\n{:<18} {:<22} {:<8} {:<5} ON DISK",
        "MEMBER", "ADDRESS", "STANDING", "LIVE"
    ));
    lines.extend(status.members.iter().map(|status| {
        let member = status.member;
        let kind = format!("{:?}", member.kind).to_lowercase();
        let (id, addr) = (member.id.to_string(), member.addr.to_string());
        format!("{id:<18} {addr:<22} {kind:<8} {:<5} {}", status.live, status.matched)
    }));
    lines.push(format!(
        "\n{:<18} {:<9} {:<9} {:<9} REFUSED",
        "ROUTER", "REVISION", "HEARD MS", "ADMITTED"
    ));
    lines.extend(status.routers.iter().map(|router| {
        let refused = router.report.refused.iter();
        let refused: Vec<String> = refused.map(|(code, count)| format!("{code}={count}")).collect();
        let admitted = router.report.admitted;
        format!(
            "{:<18} {:<9} {:<9} {admitted:<9} {}",
            router.host,
            router.revision,
            router.heard_ms_ago,
            refused.join(" ")
        )
    }));
    lines.push(format!(
        "\n{:<18} {:<18} {:<9} {:<9} SERVES",
        "TARGET", "HOST", "DATA HALL", "STATE"
    ));
    match &status.targets {
        Some(targets) => lines.extend(targets.iter().map(|target| target_line(status, target))),
        None => lines.push("the platform's list can't be read".to_owned()),
    }
    lines.join("\n")
}

fn target_line(status: &Status, target: &Listed) -> String {
    let drained = status.drains.contains(&target.name) || status.drains.contains(&target.host);
    let state = match (target.leaving, drained, status.moving.contains_key(&target.name)) {
        (true, _, _) => "leaving",
        (false, true, _) => "draining",
        (false, false, true) => "moving",
        (false, false, false) => "live",
    };
    let serves = match &target.serves {
        Serves::Models(loaded) => {
            let loaded: Vec<String> = loaded.iter().map(ToString::to_string).collect();
            format!("models {}", loaded.join(" "))
        }
        Serves::Service(service) => format!("service {service}"),
    };
    format!("{:<18} {:<18} {:<9} {state:<9} {serves}", target.name, target.host, target.data_hall)
}
