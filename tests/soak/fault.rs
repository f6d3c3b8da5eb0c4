//! The kinds of faults and operator actions in a run.

/// A fault or an operator action. Its Debug name is printed in the soak's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KillGateway,
    StopGateway,
    PauseGateway,
    /// Sends SIGHUP.
    HangUpGateway,
    /// Blocks traffic between a gateway and all members.
    CutGateway,
    KillMember,
    StopMember,
    PauseMember,
    LoseDisk,
    /// Kills a member and appends half a record to its log.
    TearLog,
    /// Kills a member and leaves a half-written `log.new`, as from an interrupted snapshot.
    LeaveNewLog,
    /// Kills a member and overwrites its file of the commit index with garbage.
    ScribbleNote,
    /// Blocks bytes to a member.
    DeafenMember,
    /// Blocks bytes from a member in connections that it accepted.
    MuteMember,
    /// Blocks a member's inbound connections from one other member.
    CutMemberFromMember,
    KillAllMembers,
    DelayMember,
    /// Resets the connections; the same for gateways and targets.
    ResetMember,
    ResetGateway,
    ResetTarget,
    DelayTarget,
    MuteTarget,
    /// Raises the share of a target's responses that fail.
    FaultyTarget,
    /// Resets a target's connections and blocks bytes to it, so that it cannot be reached.
    CrashTarget,
    /// Ends a target, which starts again after a while.
    RestartTarget,
    ReplaceTarget,
    /// Makes all targets of a data hall unreachable at once.
    LoseHall,
    Evacuate,
    Withdraw,
    EvacuateAndWithdraw,
    Configure,
    /// Sends eight configurations in quick succession.
    Storm,
    /// Sends two configurations at once to random members.
    Race,
    /// Sends a configuration again that was sent before.
    OldConfiguration,
    /// Sends an invalid configuration.
    FaultyConfiguration,
}

impl Fault {
    /// All kinds, in the order that a random index selects from.
    pub const ALL: [Fault; 35] = [
        Fault::KillGateway,
        Fault::StopGateway,
        Fault::PauseGateway,
        Fault::HangUpGateway,
        Fault::CutGateway,
        Fault::KillMember,
        Fault::StopMember,
        Fault::PauseMember,
        Fault::LoseDisk,
        Fault::TearLog,
        Fault::LeaveNewLog,
        Fault::ScribbleNote,
        Fault::DeafenMember,
        Fault::MuteMember,
        Fault::CutMemberFromMember,
        Fault::KillAllMembers,
        Fault::DelayMember,
        Fault::ResetMember,
        Fault::ResetGateway,
        Fault::ResetTarget,
        Fault::DelayTarget,
        Fault::MuteTarget,
        Fault::FaultyTarget,
        Fault::CrashTarget,
        Fault::RestartTarget,
        Fault::ReplaceTarget,
        Fault::LoseHall,
        Fault::Evacuate,
        Fault::Withdraw,
        Fault::EvacuateAndWithdraw,
        Fault::Configure,
        Fault::Storm,
        Fault::Race,
        Fault::OldConfiguration,
        Fault::FaultyConfiguration,
    ];

    /// Whether earlier builds support it too: those have no evacuations.
    pub fn known_to_all_builds(self) -> bool {
        !matches!(self, Fault::Evacuate | Fault::Withdraw | Fault::EvacuateAndWithdraw)
    }
}
