//! What may happen to a fleet.

/// What may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    KillGateway,
    StopGateway,
    PauseGateway,
    HangUpGateway,
    CutGateway,
    KillMember,
    StopMember,
    PauseMember,
    LoseDisk,
    TearLog,
    LeaveNewLog,
    ScribbleNote,
    DeafenMember,
    MuteMember,
    CutMemberFromMember,
    KillAllMembers,
    DelayMember,
    ResetMember,
    ResetGateway,
    ResetTarget,
    DelayTarget,
    MuteTarget,
    FaultyTarget,
    CrashTarget,
    RestartTarget,
    ReplaceTarget,
    LoseHall,
    Evacuate,
    Withdraw,
    EvacuateAndWithdraw,
    Configure,
    Storm,
    Race,
    OldConfiguration,
    FaultyConfiguration,
}

impl Fault {
    /// All of them, one of which is drawn at a time.
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

    /// Whether every build has the calls that it needs.
    pub fn known_to_all_builds(self) -> bool {
        !matches!(self, Fault::Evacuate | Fault::Withdraw | Fault::EvacuateAndWithdraw)
    }
}
