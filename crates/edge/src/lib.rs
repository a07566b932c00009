//! The entry node on a platform.
//!
//! An [`Edge`] runs all tasks of a node, over a [`site::Platform`]:
//!
//! - `follow` reads the operators' and servers' feeds into the [`state`] tables, through
//!   `feed_reader`; `node_records` reads and writes the nodes' own records,
//! - `heartbeat` sends this node's load and state to the other nodes and receives
//!   theirs; `peers` holds what was received,
//! - `feed_relay` sends the planner's feed reads to the other nodes, which then need
//!   not poll the store,
//! - `evidence` withholds requests that crash servers, and `quarantine_store` keeps them
//!   over restarts; `exchange` sends what nodes learn from servers' answers to the others,
//! - `end_check` tells servers that ended from lost connections, `isolation` whether this
//!   node reaches the servers at all; `forward` then passes requests on to other nodes,
//! - `era` keeps what was applied while the store returns from an older copy,
//! - `returned` asks servers whose entries are back after a removal whether they are,
//! - `candidate` decides when this node claims the planner role, `plan` queries engines and
//!   sends orders while it holds the newest claim, and `planning` decides which,
//! - `level` holds how full the replicas of each model may be, by all nodes' outcomes,
//! - `listener` accepts connections, `serve` passes a request through `admit` and
//!   `attempt` (which takes a `slot`), `stream` forwards the events of a response,
//! - `announcement` acts on what servers say about themselves in responses, and `outcome`
//!   records what became of a request,
//! - `directory` lists the nodes that callers should use.
//!
//! One lock, [`state::Shared::tables`], guards all tables. It is never held across
//! an await.

mod admin;
mod admit;
mod announcement;
mod attempt;
mod candidate;
mod directory;
mod end_check;
mod era;
mod events;
mod evidence;
mod exchange;
mod feed_reader;
mod feed_relay;
mod follow;
mod forward;
mod heartbeat;
mod isolation;
mod level;
mod listener;
mod metrics;
mod node_records;
mod outcome;
mod peers;
mod plan;
mod planning;
mod probe;
mod quarantine_store;
mod returned;
mod serve;
mod slot;
mod start;
mod state;
mod stream;

pub use start::Edge;
