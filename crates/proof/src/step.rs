//! The axes of the matrix: work, steps and faults.

/// A kind of work.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A streamed draft, which may be resumed elsewhere.
    Draft,
    /// A call of a plain service that may be repeated.
    Enquiry,
    /// A call with a key, which may not be repeated.
    Booking,
    /// An action of the control plane.
    Control,
}

impl Work {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Draft, Self::Enquiry, Self::Booking, Self::Control];
}

/// A point in the course of a request or of a control action.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// A request arrives at an entry node.
    Accept,
    /// The caller's account is looked up.
    Authenticate,
    /// The state in force is read.
    ReadConfiguration,
    /// A backend server is chosen.
    Choose,
    /// A slot is taken.
    Admit,
    /// A claim is appended.
    Claim,
    /// The claim is read back.
    ReadClaim,
    /// A connection to the backend server is opened.
    Connect,
    /// The permit is checked against the connection.
    SendHead,
    /// The request is written.
    SendBody,
    /// The first frame arrives.
    FirstToken,
    /// A further frame arrives.
    Middle,
    /// The last frame arrives.
    End,
    /// The slot is given back and an outcome is appended.
    RecordOutcome,
    /// The caller is answered.
    Answer,
    /// An operator's lists are appended.
    AppendConfiguration,
    /// A node folds a record of the control stream.
    Fold,
    /// A node takes records from a peer.
    Relay,
    /// A node appends an assignment.
    Propose,
    /// A node sends an order to an engine.
    Order,
    /// A node takes in a backend server's report.
    Report,
    /// A replica becomes servable at a node.
    Serve,
    /// A failure domain is taken out.
    TakeOut,
    /// A failure domain is brought back.
    BringBack,
    /// An entry node starts to stop.
    PlannedStop,
}

impl Step {
    /// Every step.
    pub const ALL: [Self; 25] = [
        Self::Accept,
        Self::Authenticate,
        Self::ReadConfiguration,
        Self::Choose,
        Self::Admit,
        Self::Claim,
        Self::ReadClaim,
        Self::Connect,
        Self::SendHead,
        Self::SendBody,
        Self::FirstToken,
        Self::Middle,
        Self::End,
        Self::RecordOutcome,
        Self::Answer,
        Self::AppendConfiguration,
        Self::Fold,
        Self::Relay,
        Self::Propose,
        Self::Order,
        Self::Report,
        Self::Serve,
        Self::TakeOut,
        Self::BringBack,
        Self::PlannedStop,
    ];

    /// Returns whether the step belongs to the control plane.
    pub fn is_control(self) -> bool {
        self >= Self::AppendConfiguration
    }

    /// Returns whether a backend server takes part in the step.
    pub fn has_server(self) -> bool {
        matches!(
            self,
            Self::Admit
                | Self::Connect
                | Self::SendHead
                | Self::SendBody
                | Self::FirstToken
                | Self::Middle
                | Self::End
                | Self::Order
                | Self::Report
                | Self::Serve
        )
    }
}

/// A fault.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A process ends and does not come back.
    Death,
    /// A process stands still for longer than every deadline.
    Pause,
    /// A process answers slowly.
    Straggler,
    /// The connections between entry node and backend server break.
    Cut,
    /// A process is cut off from all others for a while.
    Partition,
    /// All processes of a failure domain end and come back later.
    DarkDomain,
    /// A process restarts at once, without memory and cold.
    Restart,
    /// Answers arrive long after they were sent.
    Late,
    /// Answers arrive twice.
    Repeated,
    /// Answers arrive on the connection of another request.
    Crossed,
    /// The log takes appends, but their answers are lost.
    LostAcknowledgement,
    /// The log refuses everything.
    LogDown,
    /// The log answers late.
    LogSlow,
    /// The log drops all records that a snapshot covers.
    Expired,
    /// The list of instances stays as it is.
    ListLag,
    /// Engines ignore fencing numbers, and an old order arrives.
    Unfenced,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 16] = [
        Self::Death,
        Self::Pause,
        Self::Straggler,
        Self::Cut,
        Self::Partition,
        Self::DarkDomain,
        Self::Restart,
        Self::Late,
        Self::Repeated,
        Self::Crossed,
        Self::LostAcknowledgement,
        Self::LogDown,
        Self::LogSlow,
        Self::Expired,
        Self::ListLag,
        Self::Unfenced,
    ];

    /// Returns whether the fault strikes one process, so that the victim matters.
    pub fn has_victim(self) -> bool {
        matches!(
            self,
            Self::Death
                | Self::Pause
                | Self::Straggler
                | Self::Partition
                | Self::DarkDomain
                | Self::Restart
        )
    }
}

/// The process that a fault strikes.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Victim {
    /// The entry node at which the step is.
    Entry,
    /// The backend server that takes part in the step.
    Server,
}

/// A fault at a step.
#[common::key]
pub struct Injection {
    /// The kind of work at which it strikes.
    pub work: Work,
    /// The step.
    pub step: Step,
    /// The fault.
    pub fault: Fault,
    /// The process that it strikes.
    pub victim: Victim,
    /// The number of times that the step passes unharmed before.
    pub after: u32,
}

/// A decision that is left out on purpose, to show that the matrix notices.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Mutation {
    /// A claim dispatches once its append is acknowledged, without reading it back.
    SkipReadBack,
    /// A permit of an earlier life of the server is used.
    IgnoreBoot,
    /// A call with a key is sent again after its bytes left.
    RetryAfterBytes,
    /// Frames of any attempt and generation are delivered.
    #[serde(rename = "old_generation")]
    AcceptStaleFrames,
    /// A call that gives up is told not-run without a void on the log.
    #[serde(rename = "no_void")]
    SkipVoid,
    /// A state counts as fresh whatever the age of its voucher.
    IgnoreVoucherAge,
    /// A replica is served whatever generation its members report.
    #[serde(rename = "other_generation")]
    IgnoreGeneration,
    /// A claim dispatches after its time has passed.
    LateDispatch,
    /// Slots that a new epoch gives to a node are used at once.
    #[serde(rename = "no_rest")]
    SkipTransferDelay,
    /// A record is accepted whatever its base.
    #[serde(rename = "any_base")]
    IgnoreBase,
    /// A planned stop ends the process with requests in progress.
    #[serde(rename = "no_drain")]
    SkipDrain,
    /// A failure is told as not-run though bytes had left.
    WrongVerdict,
    /// A server that the list shows as leaving stays in use.
    IgnoreLeaving,
    /// A call with a key is refused as not-run before its key was looked up.
    #[serde(rename = "key_unseen")]
    RefuseBeforeLookup,
}

impl Mutation {
    /// Every break.
    pub const ALL: [Self; 14] = [
        Self::SkipReadBack,
        Self::IgnoreBoot,
        Self::RetryAfterBytes,
        Self::AcceptStaleFrames,
        Self::SkipVoid,
        Self::IgnoreVoucherAge,
        Self::IgnoreGeneration,
        Self::LateDispatch,
        Self::SkipTransferDelay,
        Self::IgnoreBase,
        Self::SkipDrain,
        Self::WrongVerdict,
        Self::IgnoreLeaving,
        Self::RefuseBeforeLookup,
    ];
}

/// Returns why a fault cannot occur at a step for a kind of work, if so.
pub fn excluded(work: Work, step: Step, fault: Fault, victim: Victim) -> Option<&'static str> {
    let is_claim = matches!(step, Step::Claim | Step::ReadClaim);
    if (work == Work::Control) != step.is_control() {
        return Some("the step belongs to other work");
    }
    if is_claim && work != Work::Booking {
        return Some("only calls with a key are claimed");
    }
    if victim == Victim::Server && !fault.has_victim() {
        return Some("the fault does not depend on the process that it strikes");
    }
    if victim == Victim::Server && !step.has_server() {
        return Some("no backend server takes part in the step");
    }
    if fault == Fault::Cut && !step.has_server() {
        return Some("no connection to a backend server is open");
    }
    None
}
