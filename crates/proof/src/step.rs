//! The axes of the fault matrix: kinds of work, steps and faults.

/// A kind of work.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A streamed draft, which another replica may resume.
    Draft,
    /// An idempotent call of a plain service.
    Enquiry,
    /// A call with an idempotency key, which must run at most once.
    Booking,
    /// An action of the control plane.
    Control,
}

impl Work {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Draft, Self::Enquiry, Self::Booking, Self::Control];
}

/// A point in the processing of a request or of a control action.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// A request arrives at an entry node.
    Accept,
    /// The caller's account is looked up.
    Authenticate,
    /// The control state in force is read.
    ReadConfiguration,
    /// A backend server is chosen.
    Choose,
    /// A slot at the server is acquired.
    Admit,
    /// A claim of the key is appended to the log.
    Claim,
    /// The claim is read back from the log.
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
    /// The slot is released and an outcome is appended.
    RecordOutcome,
    /// The response is sent to the caller.
    Answer,
    /// An operator's configuration lists are appended.
    AppendConfiguration,
    /// A node applies records of the control stream.
    Fold,
    /// A node receives relayed records from a peer.
    Relay,
    /// A node proposes an assignment of a replica.
    Propose,
    /// A node sends an order to an engine.
    Order,
    /// A node receives a backend server's report.
    Report,
    /// A replica becomes servable at a node.
    Serve,
    /// A failure domain is taken out.
    TakeOut,
    /// A failure domain is brought back.
    BringBack,
    /// An entry node starts a planned stop.
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
    /// A process terminates and is not restarted.
    Death,
    /// A process is paused for longer than every deadline.
    Pause,
    /// All messages from and to a process are slow.
    Straggler,
    /// The connections between entry node and backend server break.
    Cut,
    /// A process is partitioned from other processes for a limited time.
    Partition,
    /// All processes of a failure domain terminate and are restarted later.
    DarkDomain,
    /// A process restarts without its state, or a server turns cold without a restart.
    Restart,
    /// Responses of servers arrive 5 s late.
    Late,
    /// Responses of servers arrive twice.
    Repeated,
    /// Response frames arrive on the connection of another request.
    Crossed,
    /// The log accepts appends, but the acknowledgments are lost.
    LostAcknowledgement,
    /// The log refuses appends and does not answer reads.
    LogDown,
    /// Requests and responses of the log are slow.
    LogSlow,
    /// The log drops all records that a snapshot covers.
    Expired,
    /// The platform's list of instances is not updated.
    ListLag,
    /// Engines ignore fencing tokens, and a stale order arrives.
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

    /// Returns whether the fault affects one process, selected by a [`Victim`].
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

/// The process that a fault affects.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Victim {
    /// The entry node that executes the step.
    Entry,
    /// The backend server that takes part in the step.
    Server,
}

/// A fault to inject at a step.
#[common::key]
pub struct Injection {
    /// The kind of work during which it is injected.
    pub work: Work,
    /// The step.
    pub step: Step,
    /// The fault.
    pub fault: Fault,
    /// The process that it affects.
    pub victim: Victim,
    /// The number of times that the step is reached before the fault is injected.
    pub after: u32,
}

/// A check or decision disabled on purpose, to test that the matrix detects it.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Mutation {
    /// A claimed call is dispatched once its append is acknowledged, without a read back.
    SkipReadBack,
    /// A permit of an earlier boot of the server is used.
    IgnoreBoot,
    /// A call with a key is retried after its body was sent.
    RetryAfterBytes,
    /// Frames of any attempt and generation are delivered.
    #[serde(rename = "old_generation")]
    AcceptStaleFrames,
    /// An abandoned call is reported as not-run without a void record on the log.
    #[serde(rename = "no_void")]
    SkipVoid,
    /// A control state counts as fresh whatever the age of its tail reading.
    IgnoreVoucherAge,
    /// A replica is served whatever generation its members report.
    #[serde(rename = "other_generation")]
    IgnoreGeneration,
    /// A claimed call is dispatched after its dispatch deadline.
    LateDispatch,
    /// Slots that a new epoch transfers to a node are used without delay.
    #[serde(rename = "no_rest")]
    SkipTransferDelay,
    /// Configuration lists are accepted whatever their base revision.
    #[serde(rename = "any_base")]
    IgnoreBase,
    /// A planned stop ends the process with requests in progress.
    #[serde(rename = "no_drain")]
    SkipDrain,
    /// A failure is reported as not-run although the body was sent.
    WrongVerdict,
    /// A server that the platform lists as leaving stays in use.
    IgnoreLeaving,
    /// A call with a key is refused as not-run before its key was looked up.
    #[serde(rename = "key_unseen")]
    RefuseBeforeLookup,
}

impl Mutation {
    /// Every mutation.
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
