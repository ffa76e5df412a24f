//! Records of jobs and of wishes to cancel them.

use spokelift_platform::job::JobId;
use spokelift_platform::store::Record;

use crate::batch::caller::Caller;
use crate::batch::record::Accepted;
use crate::batch::record::CANCEL_PREFIX;
use crate::batch::record::RecordError;
use crate::batch::record::accepted::LegacyAccepted;
use crate::batch::record::decode;
use crate::batch::record::encode;
use crate::batch::record::id_of_owned;

/// A record of [`JOB_TOPIC`].
#[derive(Debug, PartialEq)]
pub enum JobRecord {
    /// A job was accepted.
    Accepted(JobId, Box<Accepted>),
    /// A client wants a job cancelled.
    Cancel(JobId, Caller),
    /// A key was dropped.
    Dropped,
}

/// Who wants a job cancelled. Records of before accounts were known say only that somebody does.
fn canceller(record: &Record, value: &[u8]) -> Result<Caller, RecordError> {
    if value == encode(&true) {
        return Ok(Caller::Operator);
    }
    decode(&record.key, value)
}

fn decode_accepted(key: &str, value: &[u8]) -> Result<Accepted, RecordError> {
    let owned: Result<Accepted, RecordError> = decode(key, value);
    owned.or_else(|error| {
        let ownerless: Result<LegacyAccepted, RecordError> = decode(key, value);
        ownerless.map(Accepted::from).map_err(|_| error)
    })
}

impl JobRecord {
    /// Reads a record of [`JOB_TOPIC`].
    ///
    /// # Errors
    ///
    /// [`RecordError`] if it is none of ours.
    pub fn decode(record: &Record) -> Result<JobRecord, RecordError> {
        let Some(value) = &record.value else { return Ok(JobRecord::Dropped) };
        if let Some(key) = record.key.strip_prefix(CANCEL_PREFIX) {
            return Ok(JobRecord::Cancel(id_of_owned(key)?, canceller(record, value)?));
        }
        let id = id_of_owned(&record.key)?;
        let accepted = decode_accepted(&record.key, value)?;
        // Whoever wrote it: a job too large to keep would bring down each scheduler in turn.
        let unusable = |error| RecordError::Job(record.key.clone(), error);
        accepted.job.check().map_err(unusable)?;
        Ok(JobRecord::Accepted(id, Box::new(accepted)))
    }
}
