//! Command-line interface. The doc comments of the types below are its help texts.

use std::path::PathBuf;

use bpaf::Bpaf;

/// A fleet of HTTP routers for services and recurring chats.
///
/// Exit codes: 0 success; 1 failure; 2 wrong usage or an invalid file; 3 conflict with the version in force; 4 not
/// authorized.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Cli {
    /// Run a router.
    #[bpaf(command)]
    Router(#[bpaf(external(process))] Process),
    /// Run a control member.
    #[bpaf(command)]
    Control(#[bpaf(external(process))] Process),
    /// Run a router, a control member or both, depending on the sections of the settings.
    #[bpaf(command)]
    Serve(#[bpaf(external(process))] Process),
    /// Run a gateway, which routes requests to targets by host and path.
    #[bpaf(command)]
    Gateway(#[bpaf(external(process))] Process),
    /// Run a member of a self-forming group, which replaces failed members by itself.
    #[bpaf(command)]
    Member(#[bpaf(external(process))] Process),
    /// Check a settings or template file and print all its faults.
    #[bpaf(command)]
    Check {
        /// Settings or template file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the timeline of one request, from log files.
    #[bpaf(command)]
    Explain {
        /// Print JSON rather than text.
        json: bool,
        /// Id of the request.
        #[bpaf(positional("REQUEST-ID"))]
        id: String,
        /// Log files of any processes; standard input if none is given.
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Count a day's requests by how they ended, from log files of gateways.
    #[bpaf(command)]
    Account {
        /// Print JSON rather than text.
        json: bool,
        /// Log files of any processes; standard input if none is given.
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Form a group of new control members; needed once.
    #[bpaf(command)]
    Init(#[bpaf(external(remote))] Remote),
    /// Submit, revise and read team templates.
    #[bpaf(command)]
    Template {
        /// Subcommand.
        #[bpaf(external(template_command))]
        command: TemplateCommand,
    },
    /// Print members, routers, revisions in force and refusals by reason.
    #[bpaf(command)]
    Status {
        /// Print JSON rather than a table.
        json: bool,
        /// Control members to call.
        #[bpaf(external(remote))]
        remote: Remote,
    },
    /// Drain a host or target: send it no new requests.
    #[bpaf(command)]
    Drain {
        /// Put it back into use.
        undo: bool,
        /// Control members to call.
        #[bpaf(external(remote))]
        remote: Remote,
        /// Host or target.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// List or unblock requests that are sent to no target, since targets ended while running them.
    #[bpaf(command)]
    Poison {
        /// Subcommand.
        #[bpaf(external(poison_command))]
        command: PoisonCommand,
    },
    /// Move the traffic of services to other versions.
    #[bpaf(command)]
    Rollout {
        /// Subcommand.
        #[bpaf(external(rollout_command))]
        command: RolloutCommand,
    },
    /// Evacuate data halls and put them back into use.
    #[bpaf(command)]
    Evacuation {
        /// Subcommand.
        #[bpaf(external(evacuation_command))]
        command: EvacuationCommand,
    },
}

/// Options of a process.
#[derive(Clone, Debug, Bpaf)]
pub struct Process {
    /// Settings file: JSON with comments.
    #[bpaf(short, long, argument("FILE"))]
    pub settings: PathBuf,
    /// Log debug events too.
    #[bpaf(short, long)]
    pub verbose: bool,
    /// Dialect of the external HTTP interface; only for gateways and members.
    #[bpaf(long, argument("NAME"))]
    pub dialect: Option<String>,
}

/// How to reach the control members of a partner.
#[derive(Clone, Debug, Bpaf)]
pub struct Remote {
    /// Address of a control member; may be given several times.
    #[bpaf(
        short,
        long,
        argument("ADDR"),
        env("LATCHMOUNT_CONTROL"),
        some("name a control member with --control")
    )]
    pub control: Vec<std::net::SocketAddr>,
    /// File that holds the operator's bearer token.
    #[bpaf(short, long, argument("FILE"), env("LATCHMOUNT_TOKEN_FILE"))]
    pub token_file: PathBuf,
    /// Time after which to give up, in seconds.
    #[bpaf(long, argument("SECONDS"), fallback(30))]
    pub timeout_s: u64,
}

/// How to reach the members of a self-forming group.
#[derive(Clone, Debug, Bpaf)]
pub struct MemberEndpoints {
    /// Address of a member; may be given several times.
    #[bpaf(
        short,
        long,
        argument("ADDR"),
        env("LATCHMOUNT_MEMBER"),
        some("name a member with --member")
    )]
    pub member: Vec<std::net::SocketAddr>,
    /// Dialect of the members' HTTP interface.
    #[bpaf(long, argument("NAME"))]
    pub dialect: Option<String>,
    /// Time after which to give up, in seconds. Keep it short: an order must not be resent long after it was given.
    #[bpaf(long, argument("SECONDS"), fallback(5))]
    pub timeout_s: u64,
}

/// Subcommands of `evacuation`.
#[derive(Clone, Debug, Bpaf)]
pub enum EvacuationCommand {
    /// Evacuate a data hall: send its targets no more requests.
    #[bpaf(command)]
    Order {
        /// Members to send the call to.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// Data hall.
        #[bpaf(positional("HALL"))]
        data_hall: String,
    },
    /// Put a data hall back into use.
    #[bpaf(command)]
    Withdraw {
        /// Members to send the call to.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// Data hall.
        #[bpaf(positional("HALL"))]
        data_hall: String,
    },
    /// List the evacuated data halls.
    #[bpaf(command)]
    List(#[bpaf(external(member_endpoints))] MemberEndpoints),
}

impl EvacuationCommand {
    /// The members to send the call to.
    pub fn endpoints(&self) -> &MemberEndpoints {
        match self {
            EvacuationCommand::Order { endpoints, .. }
            | EvacuationCommand::Withdraw { endpoints, .. }
            | EvacuationCommand::List(endpoints) => endpoints,
        }
    }
}

/// Subcommands of `rollout`.
#[derive(Clone, Debug, Bpaf)]
pub enum RolloutCommand {
    /// Move the traffic of a service to targets of another version, and back if those turn out worse.
    #[bpaf(command)]
    Start {
        /// Members to send the call to.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// Duration of the roll-out, in seconds.
        #[bpaf(long, argument("SECONDS"))]
        within_s: u64,
        /// Name of the service.
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// Version to move the traffic to.
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Print the progress of the roll-out of a service.
    #[bpaf(command)]
    Show {
        /// Members to send the call to.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// Name of the service.
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// List the last roll-out of each service.
    #[bpaf(command)]
    List(#[bpaf(external(member_endpoints))] MemberEndpoints),
    /// Withdraw a roll-out: send no more requests to the new version of the service.
    #[bpaf(command)]
    Withdraw {
        /// Members to send the call to.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// Name of the service.
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
}

impl RolloutCommand {
    /// The members to send the call to.
    pub fn endpoints(&self) -> &MemberEndpoints {
        match self {
            RolloutCommand::Start { endpoints, .. }
            | RolloutCommand::Show { endpoints, .. }
            | RolloutCommand::Withdraw { endpoints, .. }
            | RolloutCommand::List(endpoints) => endpoints,
        }
    }
}

/// Subcommands of `poison`.
#[derive(Clone, Debug, Bpaf)]
pub enum PoisonCommand {
    /// List the blocked requests, with their teams, routes and numbers of ended targets.
    #[bpaf(command)]
    List(#[bpaf(external(member_endpoints))] MemberEndpoints),
    /// Unblock a request at all gateways.
    #[bpaf(command)]
    Lift {
        /// Members to send the call to.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// Fingerprint of the request, as in the logs and in the list.
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: crate::poison::Fingerprint,
    },
}

impl PoisonCommand {
    /// The members to send the call to.
    pub fn endpoints(&self) -> &MemberEndpoints {
        match self {
            PoisonCommand::List(endpoints) | PoisonCommand::Lift { endpoints, .. } => endpoints,
        }
    }
}

/// Subcommands of `template`.
#[derive(Clone, Debug, Bpaf)]
pub enum TemplateCommand {
    /// Submit a new template.
    #[bpaf(command)]
    Submit(#[bpaf(external(change_args))] ChangeArgs),
    /// Revise a template.
    #[bpaf(command)]
    Revise {
        /// Version that the revision is based on.
        #[bpaf(short, long, argument("VERSION"))]
        base: u64,
        /// Arguments of the change.
        #[bpaf(external(change_args))]
        args: ChangeArgs,
    },
    /// Print a template in force, as JSON.
    #[bpaf(command)]
    Show {
        /// Control members to call.
        #[bpaf(external(remote))]
        remote: Remote,
        /// Name of the template.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// List the templates in force.
    #[bpaf(command)]
    List(#[bpaf(external(remote))] Remote),
    /// List the versions of a template.
    #[bpaf(command)]
    History {
        /// Control members to call.
        #[bpaf(external(remote))]
        remote: Remote,
        /// Name of the template.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Wait until a revision is in force at every live router.
    #[bpaf(command)]
    Wait {
        /// Control members to call.
        #[bpaf(external(remote))]
        remote: Remote,
        /// Revision, as printed by submit and revise.
        #[bpaf(positional("REVISION"))]
        revision: u64,
    },
}

/// Arguments of a change to a template.
#[derive(Clone, Debug, Bpaf)]
pub struct ChangeArgs {
    /// Id of the change. To resend a change whose answer was lost, give the same id.
    #[bpaf(long, argument("ID"))]
    pub change_id: Option<String>,
    /// Control members to call.
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Template file: JSON with comments.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}
