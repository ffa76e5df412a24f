//! The configuration file that operators publish: parsing, validation, and the edits that turn the
//! configuration in force into it.

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

/// Boxes of the box list, by name.
pub type Shapes = BTreeMap<BoxId, Shape>;

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{kind}")]
pub struct Fault {
    /// The kind of error.
    pub kind: FaultKind,
    /// Byte range in the file, if the parser reports one.
    pub span: Option<Range<usize>>,
}

/// The kinds of errors in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum FaultKind {
    /// Not TOML, an unknown key, a missing key or a value of the wrong type.
    #[error("{message}")]
    Syntax {
        /// Message of the TOML parser.
        message: Box<str>,
    },
    /// A name that is malformed or reserved.
    #[error("{name:?} is not a name: use 1 to 64 of a-z, 0-9 and -")]
    Name {
        /// The name.
        name: Box<str>,
    },
    /// A name that is defined twice.
    #[error("{name} is given twice")]
    #[serde(rename = "twice")]
    Duplicate {
        /// The name.
        name: Box<str>,
    },
    /// A malformed key hash.
    #[error("a key hash is 64 hexadecimal digits; `spokelift hash-key` prints one")]
    Hash,
    /// A number that is out of range.
    #[error("{key} is {value}; it must be {min} to {max}")]
    Range {
        /// The key.
        key: Box<str>,
        /// The value given.
        value: u32,
        /// Minimum, inclusive.
        min: u32,
        /// Maximum, inclusive.
        max: u32,
    },
    /// Only the site operator may publish this.
    #[error("only the site operator may publish a {section}")]
    NotAllowed {
        /// The kind of section.
        section: Box<str>,
    },
    /// There is no such account, or it is not in the operator's scope.
    #[error("there is no account {name}")]
    UnknownAccount {
        /// The name.
        name: Box<str>,
    },
    /// There is no such pool, or the account may not use it.
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
    /// The file lists the box twice.
    #[error("box {name} is claimed by pool {first} already")]
    ClaimedTwice {
        /// The box.
        name: Box<str>,
        /// The pool that claims it already.
        first: Box<str>,
    },
    /// The box is in another pool; only an intent can move it.
    #[error("box {name} is in another pool; boxes move by an intent")]
    BoxTaken {
        /// The box.
        name: Box<str>,
    },
    /// The budget allows no box, or every box, of the pool to be out of service.
    #[error(
        "max_out is {max_out}; of {boxes} box(es) at least one may go and at least one must stay"
    )]
    Budget {
        /// Boxes that may be out of service at a time.
        max_out: u32,
        /// Boxes in the pool.
        boxes: u32,
    },
    /// A service must keep more replicas up than its pool keeps boxes in service.
    #[error("min_up is {min_up}, but pool {pool} keeps only {kept} boxes up")]
    MinUp {
        /// Replicas that must stay up.
        min_up: u32,
        /// The pool.
        pool: Box<str>,
        /// Boxes in service when the pool's budget is used up.
        kept: u32,
    },
}

impl Document {
    /// Parses a configuration file.
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

    /// Returns the edits that make `fleet` match this file, for an operator with `scope`.
    ///
    /// Objects that the file does not name stay as they are.
    ///
    /// # Errors
    ///
    /// All errors found in the file.
    pub fn compile(
        &self,
        fleet: &Fleet,
        shapes: &Shapes,
        scope: &Scope,
    ) -> Result<Change, Vec<Fault>> {
        check::compile(self, fleet, shapes, scope)
    }
}
