//! Orders to model engines, and their outcomes.

use name::{Instance, Model, Replica};

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The command.
    pub command: Command,
    /// The planner's fencing token.
    pub token: u64,
    /// The number of orders that the engine must have accepted before this one.
    pub expected_sequence: Option<u64>,
}

/// A command to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Become a member of a replica.
    Join {
        /// The replica.
        replica: Replica,
        /// The replica's generation.
        generation: u64,
        /// The model.
        model: Model,
        /// All members; the first is the head.
        members: Vec<Instance>,
    },
    /// Start to serve requests, as the head.
    Open {
        /// The replica.
        replica: Replica,
        /// The replica's generation.
        generation: u64,
    },
    /// Stop serving requests, as the head.
    Close {
        /// The replica.
        replica: Replica,
        /// The replica's generation.
        generation: u64,
        /// Whether requests in progress are aborted.
        is_abrupt: bool,
    },
    /// Stop being a member.
    Leave {
        /// The replica.
        replica: Replica,
        /// The replica's generation.
        generation: u64,
    },
    /// Store a model's weights on the host.
    Stage {
        /// The model.
        model: Model,
    },
}

impl Command {
    /// Returns the command's name in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }
}

/// The outcome of an order.
#[common::key]
pub enum Outcome {
    /// The engine has started to carry out the order.
    Started,
    /// The engine is already in the requested state.
    AlreadyDone,
    /// The order conflicts with the engine's state or sequence number.
    Mismatch,
    /// The engine has received a higher fencing token.
    Fenced,
    /// The address belongs to another engine.
    WrongEngine,
    /// The engine refused the order for another reason, without any effect.
    Refused,
    /// No response arrived: the order may be carried out, even later.
    Unknown,
}
