//! The configuration file that operators publish: parsed, checked, and turned into the edits
//! that differ from what is in force.

mod check;
mod file;

use std::collections::BTreeMap;
use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::account::Scope;
use crate::state::fleet::Fleet;
use crate::state::fleet::Shape;
use crate::state::id::BoxId;
use crate::state::record::Change;

pub use crate::state::config::file::Document;

/// Largest configuration file accepted, in bytes.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// Boxes as the box list gives them, by name.
pub type Shapes = BTreeMap<BoxId, Shape>;

/// One thing wrong with a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{kind}")]
pub struct Fault {
    /// What is wrong.
    pub kind: FaultKind,
    /// Where in the file, in bytes.
    pub span: Option<Range<usize>>,
}

/// What can be wrong with a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum FaultKind {
    /// Not TOML, an unknown key, a missing key or a value of the wrong type.
    #[error("{message}")]
    Syntax {
        /// What the TOML reader says.
        message: Box<str>,
    },
    /// A name that may not be used.
    #[error("{name:?} is not a name: use 1 to 64 of a-z, 0-9 and -")]
    Name {
        /// The name.
        name: Box<str>,
    },
    /// The same name twice.
    #[error("{name} is given twice")]
    #[serde(rename = "twice")]
    Duplicate {
        /// The name.
        name: Box<str>,
    },
    /// A key hash that is not one.
    #[error("a key hash is 64 hexadecimal digits; `spokelift hash-key` prints one")]
    Hash,
    /// A number outside of its range.
    #[error("{key} is {value}; it must be {min} to {max}")]
    Range {
        /// The key.
        key: Box<str>,
        /// The value given.
        value: u32,
        /// Least value.
        min: u32,
        /// Greatest value.
        max: u32,
    },
    /// Only the site operator may publish this.
    #[error("only the site operator may publish a {section}")]
    NotAllowed {
        /// The kind of section.
        section: Box<str>,
    },
    /// There is no such account, or it is not the operator's.
    #[error("there is no account {name}")]
    UnknownAccount {
        /// The name.
        name: Box<str>,
    },
    /// There is no such pool, or it is not the operator's.
    #[error("there is no pool {name}")]
    UnknownPool {
        /// The name.
        name: Box<str>,
    },
    /// The box list does not have this box.
    #[error("the box list has no box {name}")]
    UnknownBox {
        /// The name.
        name: Box<str>,
    },
    /// Two pools of the file claim the box.
    #[error("box {name} is claimed by pool {first} already")]
    ClaimedTwice {
        /// The box.
        name: Box<str>,
        /// The pool that claims it first.
        first: Box<str>,
    },
    /// The box is in another pool.
    #[error("box {name} is in another pool; boxes move by an intent")]
    BoxTaken {
        /// The box.
        name: Box<str>,
    },
    /// No pool of this size can meet its budget.
    #[error(
        "max_out is {max_out}; of {boxes} box(es) at least one may go and at least one must stay"
    )]
    Budget {
        /// The budget.
        max_out: u32,
        /// Boxes in the pool.
        boxes: u32,
    },
    /// A service needs more replicas than its pool keeps up.
    #[error("min_up is {min_up}, but pool {pool} keeps only {kept} boxes up")]
    MinUp {
        /// Replicas that must stay up.
        min_up: u32,
        /// The pool.
        pool: Box<str>,
        /// Boxes the pool keeps up when its budget is used.
        kept: u32,
    },
}

impl Document {
    /// Reads a configuration file.
    ///
    /// ```
    /// use spokelift_lib::state::config::Document;
    /// assert!(Document::parse("").is_ok());
    /// let faults = Document::parse("[[pool]]\nmax_outt = 1").unwrap_err();
    /// assert!(faults[0].span.is_some());
    /// ```
    pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
        file::parse(text).map_err(|fault| vec![fault])
    }

    /// The edits that bring `fleet` to what this file says, as an operator of `scope` may make
    /// them; or all that is wrong with the file.
    ///
    /// Objects that the file does not name stay as they are.
    pub fn compile(
        &self,
        fleet: &Fleet,
        shapes: &Shapes,
        scope: &Scope,
    ) -> Result<Change, Vec<Fault>> {
        check::compile(self, fleet, shapes, scope)
    }
}
