//! Records on the platform's log: the changes of the replicated state.

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

/// Maximum size of an encoded batch, in bytes; the log's own limit is higher.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;

/// The records of one append.
///
/// `(writer, incarnation, sequence)` makes it safe to repeat an append whose response was lost:
/// readers ignore a sequence number that they have applied and refuse an incarnation that a later
/// one has replaced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The daemon that wrote it.
    pub writer: DaemonId,
    /// That daemon's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the batch in this incarnation, from 1.
    pub sequence: u64,
    /// The records, applied in this order.
    pub records: Vec<Record>,
}

/// A change, with the id by which its verdict can be queried.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Chosen at random by the writer.
    pub id: RecordId,
    /// The change.
    pub body: Body,
}

/// The kinds of changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Sets configuration objects, if none of them has changed since the versions that the edits name.
    Publish(Change),
    /// Stores a plan for confirmation; changes nothing else.
    Propose(Plan),
    /// Starts a proposed plan, if none of the objects it was computed from has changed.
    Confirm(PlanId),
    /// Makes a daemon the driver of a plan; earlier epochs are refused from then on.
    Drive {
        /// The plan.
        plan: PlanId,
        /// The new driver.
        holder: DaemonId,
        /// The current epoch plus one.
        epoch: u32,
    },
    /// Takes the box of a step out of service, if the budget allows it.
    Permit(StepRef),
    /// Applies the permanent effect of a step: the new pool of a box, or where a job runs.
    Assign(StepRef),
    /// Ends a step; its box no longer counts against the budget, unless the outcome is
    /// [`Outcome::Lost`].
    Finish(StepRef, Outcome),
    /// Pauses, resumes or aborts a confirmed plan, or aborts a proposed one.
    Control {
        /// The plan.
        plan: PlanId,
        /// The action.
        action: Control,
    },
    /// Boxes became unresponsive.
    Down(Vec<BoxId>),
    /// Boxes respond again.
    Up(Vec<BoxId>),
    /// Announces that the writer will write a snapshot of the state after this record's batch.
    /// Refused if another mark was accepted since the one it names.
    Mark {
        /// Position of the last mark that the writer has applied.
        after: Offset,
    },
    /// Part of a snapshot.
    Snapshot(Chunk),
}

/// A reference to a step of a plan by the driver of an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRef {
    /// The plan.
    pub plan: PlanId,
    /// The driver's epoch; refused unless it is the current one.
    pub epoch: u32,
    /// Index of the step.
    pub step: u32,
}

/// An operator's action on a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Control {
    /// Start no more steps.
    Pause,
    /// Continue after a pause.
    Resume,
    /// Finish the steps in progress and skip the others.
    Abort,
}

/// A set of edits that is accepted or refused as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The edits; each names the version of its object on which it is based.
    pub edits: Vec<Edit>,
}

/// An edit. The offset is the version of the object that it replaces, 0 for a new object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Sets an account.
    Account(AccountId, Offset, Account),
    /// Sets a pool, except for its set of boxes.
    Pool(PoolId, Offset, Pool),
    /// Sets a service of an account, except for the boxes it runs on.
    Service(AccountId, ServiceId, Offset, Service),
    /// Adds a box that is in no pool to a pool.
    Claim(BoxId, PoolId, Shape),
}

/// Why a batch cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The serialization failed.
    #[error("cannot encode or decode the batch: {0}")]
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
