//! Command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// A router fleet for very many returning chats.
///
/// Exit codes: 0 done; 1 failed; 2 wrong use or faults in a file; 3 a conflict with the version in
/// force; 4 not authorized.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Cli {
    /// Run a router.
    #[bpaf(command)]
    Router(#[bpaf(external(process))] Process),
    /// Run a control member.
    #[bpaf(command)]
    Control(#[bpaf(external(process))] Process),
    /// Run whatever the settings have a section for: a router, a control member or both.
    #[bpaf(command)]
    Serve(#[bpaf(external(process))] Process),
    /// Run a gateway: it takes requests by host and path.
    #[bpaf(command)]
    Gateway(#[bpaf(external(process))] Process),
    /// Run a member of a control group that forms and mends itself.
    #[bpaf(command)]
    Member(#[bpaf(external(process))] Process),
    /// Print every fault of a settings or template file.
    #[bpaf(command)]
    Check {
        /// File with settings or a template.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Tell the story of one request from log files.
    #[bpaf(command)]
    Explain {
        /// Print JSON rather than text.
        json: bool,
        /// Id of the request.
        #[bpaf(positional("REQUEST-ID"))]
        id: String,
        /// Log files of any processes; standard input without any.
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Count a day's requests by how they ended, from log files of gateways.
    #[bpaf(command)]
    Account {
        /// Print JSON rather than text.
        json: bool,
        /// Log files of any processes; standard input without any.
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Form a group of blank control members; needed once.
    #[bpaf(command)]
    Init(#[bpaf(external(remote))] Remote),
    /// Submit, revise and look at team templates.
    #[bpaf(command)]
    Template {
        /// What to do.
        #[bpaf(external(template_command))]
        command: TemplateCommand,
    },
    /// Members, routers, revisions in force and refusals by reason.
    #[bpaf(command)]
    Status {
        /// Print JSON rather than a table.
        json: bool,
        /// Whom to ask.
        #[bpaf(external(remote))]
        remote: Remote,
    },
    /// Send no new work to a host or target.
    #[bpaf(command)]
    Drain {
        /// Take it back into use.
        undo: bool,
        /// Whom to tell.
        #[bpaf(external(remote))]
        remote: Remote,
        /// Host or target.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Look at requests that are sent nowhere because targets ended under them.
    #[bpaf(command)]
    Poison {
        /// What to do.
        #[bpaf(external(poison_command))]
        command: PoisonCommand,
    },
    /// Move the traffic of services to other versions.
    #[bpaf(command)]
    Rollout {
        /// What to do.
        #[bpaf(external(rollout_command))]
        command: RolloutCommand,
    },
    /// Evacuate data halls, and take them back into use.
    #[bpaf(command)]
    Evacuation {
        /// What to do.
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
    /// Write events of debugging too.
    #[bpaf(short, long)]
    pub verbose: bool,
    /// Dialect that the outside speaks; only for gateways and members.
    #[bpaf(long, argument("NAME"))]
    pub dialect: Option<String>,
}

/// How to reach a partner's control members.
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
    /// Longest time to try, in seconds.
    #[bpaf(long, argument("SECONDS"), fallback(30))]
    pub timeout_s: u64,
}

/// How to reach the members of a group that forms itself.
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
    /// Dialect that the members speak with the outside.
    #[bpaf(long, argument("NAME"))]
    pub dialect: Option<String>,
    /// Longest time to try, in seconds; an order must not be sent again for long after it was made.
    #[bpaf(long, argument("SECONDS"), fallback(5))]
    pub timeout_s: u64,
}

/// Commands on evacuations.
#[derive(Clone, Debug, Bpaf)]
pub enum EvacuationCommand {
    /// Have the targets of a data hall sent nothing more.
    #[bpaf(command)]
    Order {
        /// Whom to tell.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// Data hall.
        #[bpaf(positional("HALL"))]
        data_hall: String,
    },
    /// Take a data hall back into use.
    #[bpaf(command)]
    Withdraw {
        /// Whom to tell.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// Data hall.
        #[bpaf(positional("HALL"))]
        data_hall: String,
    },
    /// List the data halls that are evacuated.
    #[bpaf(command)]
    List(#[bpaf(external(member_endpoints))] MemberEndpoints),
}

impl EvacuationCommand {
    /// Whom to tell or ask.
    pub fn endpoints(&self) -> &MemberEndpoints {
        match self {
            EvacuationCommand::Order { endpoints, .. }
            | EvacuationCommand::Withdraw { endpoints, .. }
            | EvacuationCommand::List(endpoints) => endpoints,
        }
    }
}

/// Commands on roll-outs.
#[derive(Clone, Debug, Bpaf)]
pub enum RolloutCommand {
    /// Move the traffic of a service to targets of another version, unless that proves to be bad.
    #[bpaf(command)]
    Start {
        /// Whom to tell.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// Time in which it is to be done, in seconds.
        #[bpaf(long, argument("SECONDS"))]
        within_s: u64,
        /// The service.
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// The version.
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Tell how far the roll-out of a service is.
    #[bpaf(command)]
    Show {
        /// Whom to ask.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// The service.
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// List the last roll-out of each service.
    #[bpaf(command)]
    List(#[bpaf(external(member_endpoints))] MemberEndpoints),
    /// Send the new version of a service nothing more.
    #[bpaf(command)]
    Withdraw {
        /// Whom to tell.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// The service.
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
}

impl RolloutCommand {
    /// Whom to tell or ask.
    pub fn endpoints(&self) -> &MemberEndpoints {
        match self {
            RolloutCommand::Start { endpoints, .. }
            | RolloutCommand::Show { endpoints, .. }
            | RolloutCommand::Withdraw { endpoints, .. }
            | RolloutCommand::List(endpoints) => endpoints,
        }
    }
}

/// Commands on requests under which targets ended.
#[derive(Clone, Debug, Bpaf)]
pub enum PoisonCommand {
    /// List the requests that are sent nowhere, with their teams, routes and ends.
    #[bpaf(command)]
    List(#[bpaf(external(member_endpoints))] MemberEndpoints),
    /// Have one sent to targets again, at all gateways.
    #[bpaf(command)]
    Lift {
        /// Whom to tell.
        #[bpaf(external(member_endpoints))]
        endpoints: MemberEndpoints,
        /// Fingerprint of the request, as logs and the list have it.
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: crate::poison::Fingerprint,
    },
}

impl PoisonCommand {
    /// Whom to tell or ask.
    pub fn endpoints(&self) -> &MemberEndpoints {
        match self {
            PoisonCommand::List(endpoints) | PoisonCommand::Lift { endpoints, .. } => endpoints,
        }
    }
}

/// Commands on templates.
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
        /// The rest.
        #[bpaf(external(change_args))]
        args: ChangeArgs,
    },
    /// Print a template in force, as JSON.
    #[bpaf(command)]
    Show {
        /// Whom to ask.
        #[bpaf(external(remote))]
        remote: Remote,
        /// Template.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// List the templates in force.
    #[bpaf(command)]
    List(#[bpaf(external(remote))] Remote),
    /// List the versions of a template.
    #[bpaf(command)]
    History {
        /// Whom to ask.
        #[bpaf(external(remote))]
        remote: Remote,
        /// Template.
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Wait until a revision is in force at every live router.
    #[bpaf(command)]
    Wait {
        /// Whom to ask.
        #[bpaf(external(remote))]
        remote: Remote,
        /// Revision, as printed by submit and revise.
        #[bpaf(positional("REVISION"))]
        revision: u64,
    },
}

/// Arguments of a change.
#[derive(Clone, Debug, Bpaf)]
pub struct ChangeArgs {
    /// Id of the change; give the same one to resend a change whose answer was lost.
    #[bpaf(long, argument("ID"))]
    pub change_id: Option<String>,
    /// Whom to tell.
    #[bpaf(external(remote))]
    pub remote: Remote,
    /// Template file: JSON with comments.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}
