//! Callers of job requests, and which jobs they may access.

use serde::Deserialize;
use serde::Serialize;

use crate::batch::record::Accepted;
use crate::state::id::AccountId;

/// Who makes a request about jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// The operator.
    #[serde(rename = "Site")]
    Operator,
    /// Anyone, at a queue that needs no key.
    Anyone {
        /// The queue.
        queue: String,
    },
    /// A client of an account.
    Account(AccountId),
}

impl Caller {
    /// The account that owns the caller's jobs; `None` for the operator and for callers without a
    /// key.
    pub fn account(&self) -> Option<&AccountId> {
        match self {
            Caller::Account(account) => Some(account),
            Caller::Operator | Caller::Anyone { .. } => None,
        }
    }

    /// Whether this caller may see, cancel and count a job.
    ///
    /// A job without an account is accessible to anyone who knows its id. A job of an account is
    /// accessible at a queue without keys only if it was submitted there: the operator has removed
    /// the queue's key requirement since.
    ///
    /// ```
    /// use spokelift_lib::batch::caller::Caller;
    /// use spokelift_testutils::batch::accepted;
    /// let own = Caller::Account("own".into());
    /// let mut job = accepted(vec![]);
    /// assert!(own.may_use(&job));
    /// job.account = Some("own".into());
    /// assert!(own.may_use(&job) && Caller::Operator.may_use(&job));
    /// assert!(!Caller::Account("other".into()).may_use(&job));
    /// assert!(!Caller::Anyone { queue: "another".to_owned() }.may_use(&job));
    /// assert!(Caller::Anyone { queue: job.queue.clone() }.may_use(&job));
    /// ```
    pub fn may_use(&self, job: &Accepted) -> bool {
        match (self, &job.account) {
            (Caller::Operator, _) | (_, None) => true,
            (Caller::Anyone { queue }, Some(_)) => *queue == job.queue,
            (Caller::Account(account), Some(owner)) => account == owner,
        }
    }
}
