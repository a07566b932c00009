//! Orders to model engines, and what became of them.

use name::{Instance, Model, Replica};

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub command: Command,
    /// The planner's fencing token.
    pub token: u64,
    /// The number of orders that the engine must have accepted before.
    pub expected_sequence: Option<u64>,
}

/// What an engine is to do.
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
    /// Start to serve, as the head.
    Open {
        /// The replica.
        replica: Replica,
        /// The replica's generation.
        generation: u64,
    },
    /// Stop to serve, as the head.
    Close {
        /// The replica.
        replica: Replica,
        /// The replica's generation.
        generation: u64,
        /// Whether what is in progress is cut off.
        is_abrupt: bool,
    },
    /// Stop being a member.
    Leave {
        /// The replica.
        replica: Replica,
        /// The replica's generation.
        generation: u64,
    },
    /// Keep a model's weights on the host.
    Stage {
        /// The model.
        model: Model,
    },
}

impl Command {
    /// Returns the word for logs.
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

/// What became of an order.
#[common::key]
pub enum Outcome {
    /// The engine has begun to carry it out.
    Started,
    /// What it asks for already holds.
    AlreadyDone,
    /// It does not fit the engine's state or sequence.
    Mismatch,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Another engine has the address.
    WrongEngine,
    /// The engine refused for another reason; nothing was done.
    Refused,
    /// No answer: it may be carried out, even later.
    Unknown,
}
