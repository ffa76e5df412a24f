//! Records on the platform's log: every change that the daemons must agree on.

use postcard::from_bytes;
use postcard::to_stdvec;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::fleet::Account;
use crate::state::fleet::Pool;
use crate::state::fleet::Service;
use crate::state::fleet::Shape;
use crate::state::id::AccountId;
use crate::state::id::BoxId;
use crate::state::id::DaemonId;
use crate::state::id::Incarnation;
use crate::state::id::Offset;
use crate::state::id::PlanId;
use crate::state::id::PoolId;
use crate::state::id::RecordId;
use crate::state::id::ServiceId;
use crate::state::plan::Outcome;
use crate::state::plan::Plan;
use crate::state::snapshot::Chunk;

/// Largest encoded batch, in bytes; the log's own limit is above it.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;

/// What one append carries.
///
/// `(writer, incarnation, sequence)` makes an append whose answer was lost safe to send again:
/// readers drop a sequence they have seen and an incarnation that has been followed by another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The daemon that wrote it.
    pub writer: DaemonId,
    /// That daemon's life.
    pub incarnation: Incarnation,
    /// Counts this life's batches from 1.
    pub sequence: u64,
    /// The records, judged in this order.
    pub records: Vec<Record>,
}

/// One change, with the id by which its verdict can be asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Chosen at random by the writer.
    pub id: RecordId,
    /// The change.
    pub body: Body,
}

/// The changes there are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Sets configuration objects, if none changed since the operator read it.
    Publish(Change),
    /// Keeps a plan for confirmation; changes nothing else.
    Propose(Plan),
    /// Puts a proposed plan in force, if nothing it was computed from has changed.
    Confirm(PlanId),
    /// Takes over the duty to drive a plan; ends every earlier epoch.
    Drive {
        /// The plan driven.
        plan: PlanId,
        /// The daemon that drives it from here on.
        holder: DaemonId,
        /// One more than the epoch that ends.
        epoch: u32,
    },
    /// Asks for permission to take a step's box out of service.
    Permit(StepRef),
    /// Puts a step's lasting effect in force: the box's new pool, or a job's place.
    Assign(StepRef),
    /// Ends a step and gives its share of the budget back.
    Finish(StepRef, Outcome),
    /// An operator pauses, resumes or aborts a confirmed plan, or drops a proposed one.
    Control {
        /// The plan.
        plan: PlanId,
        /// What to do.
        action: Control,
    },
    /// A box no longer answers.
    Down(Vec<BoxId>),
    /// A box answers again.
    Up(Vec<BoxId>),
    /// A daemon writes a snapshot of the state right after this record's batch, if no other has
    /// marked one since the mark it names.
    Mark {
        /// Position of the last mark that the writer knows of.
        after: Offset,
    },
    /// Part of a snapshot.
    Snapshot(Chunk),
}

/// Names a step of a plan on behalf of an epoch of its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRef {
    /// The plan.
    pub plan: PlanId,
    /// The driver's epoch; an earlier one is refused.
    pub epoch: u32,
    /// Index of the step.
    pub step: u32,
}

/// What an operator does to a plan under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Control {
    /// Start no further step.
    Pause,
    /// Go on after a pause.
    Resume,
    /// Finish the steps begun and start no other.
    Abort,
}

/// A set of edits that are accepted or refused together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The edits; an object's edit names the version it was made from.
    pub edits: Vec<Edit>,
}

/// One edit; `base` is the version of the object it replaces, 0 for a new one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Sets an account.
    Account(AccountId, Offset, Account),
    /// Sets a pool; the boxes it holds are not part of this.
    Pool(PoolId, Offset, Pool),
    /// Sets a service of an account.
    Service(AccountId, ServiceId, Offset, Service),
    /// Puts a box that is in no pool into one.
    Claim(BoxId, PoolId, Shape),
}

/// Why bytes from the log are not a batch.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes do not decode.
    #[error("not a batch: {0}")]
    Postcard(#[from] postcard::Error),
    /// The encoded batch is larger than [`MAX_BATCH_BYTES`].
    #[error("a batch of {0} bytes is over the limit of {MAX_BATCH_BYTES}")]
    TooLarge(usize),
}

impl Batch {
    /// Encodes the batch for the log.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        let bytes = to_stdvec(self)?;
        if bytes.len() > MAX_BATCH_BYTES {
            return Err(CodecError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a batch read from the log.
    ///
    /// ```
    /// use spokelift_lib::state::record::Batch;
    /// let batch = Batch { writer: 1, incarnation: 2, sequence: 3, records: vec![] };
    /// assert_eq!(Batch::decode(&batch.encode().unwrap()).unwrap(), batch);
    /// assert!(Batch::decode(b"").is_err());
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Batch, CodecError> {
        Ok(from_bytes(bytes)?)
    }
}
