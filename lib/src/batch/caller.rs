//! Who asks for a job, and whether it is theirs.

use serde::Deserialize;
use serde::Serialize;

use crate::batch::record::Accepted;
use crate::state::id::AccountId;

/// Who asks for a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// The site's operator.
    #[serde(rename = "Site")]
    Operator,
    /// Whoever calls at a queue that asks for no key.
    Anyone {
        /// The queue.
        queue: String,
    },
    /// A client of an account.
    Account(AccountId),
}

impl Caller {
    /// The account whose jobs its jobs are.
    pub fn account(&self) -> Option<&AccountId> {
        match self {
            Caller::Account(account) => Some(account),
            Caller::Operator | Caller::Anyone { .. } => None,
        }
    }

    /// Whether a job is there for this caller: to see, to cancel, to count.
    ///
    /// A job that belongs to no account is there for whoever knows its id. Jobs of accounts are there at a queue
    /// without keys only if it is theirs: the operator has opened it since they were handed in.
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
