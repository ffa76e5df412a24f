//! Records of jobs and of cancellation requests.

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

/// A record of [`JOB_TOPIC`](crate::batch::record::JOB_TOPIC).
#[derive(Debug, PartialEq)]
pub enum JobRecord {
    /// A job was accepted.
    Accepted(JobId, Box<Accepted>),
    /// A client requests a job's cancellation.
    Cancel(JobId, Caller),
    /// A key was dropped.
    Dropped,
}

/// Who requested the cancellation. Older records hold only `true`, which counts as the operator's.
fn canceller(record: &Record, value: &[u8]) -> Result<Caller, RecordError> {
    if value == encode(&true) {
        return Ok(Caller::Operator);
    }
    decode(&record.key, value)
}

fn decode_accepted(key: &str, value: &[u8]) -> Result<Accepted, RecordError> {
    let current: Result<Accepted, RecordError> = decode(key, value);
    current.or_else(|error| {
        let legacy: Result<LegacyAccepted, RecordError> = decode(key, value);
        legacy.map(Accepted::from).map_err(|_| error)
    })
}

impl JobRecord {
    /// Decodes a record of [`JOB_TOPIC`](crate::batch::record::JOB_TOPIC).
    ///
    /// # Errors
    ///
    /// [`RecordError`] if its key, its value or the job in it is not valid.
    pub fn decode(record: &Record) -> Result<JobRecord, RecordError> {
        let Some(value) = &record.value else { return Ok(JobRecord::Dropped) };
        if let Some(key) = record.key.strip_prefix(CANCEL_PREFIX) {
            return Ok(JobRecord::Cancel(id_of_owned(key)?, canceller(record, value)?));
        }
        let id = id_of_owned(&record.key)?;
        let accepted = decode_accepted(&record.key, value)?;
        // Checked whoever wrote it: a job too large to keep would crash each scheduler in turn.
        let to_record_error = |error| RecordError::Job(record.key.clone(), error);
        accepted.job.validate().map_err(to_record_error)?;
        Ok(JobRecord::Accepted(id, Box::new(accepted)))
    }
}
